package core

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Guards against decisions that depend on the network or on processes.
func TestCoreImportsNoIO(t *testing.T) {
	forbidden := map[string]bool{"net": true, "net/http": true, "os": true, "os/exec": true, "syscall": true, "log": true}
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			if forbidden[name] {
				t.Errorf("%s imports %s; move what needs it behind a port", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
