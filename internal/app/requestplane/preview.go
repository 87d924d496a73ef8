package requestplane

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"auburnpier/internal/core/route"
	"auburnpier/internal/domain"
	"auburnpier/internal/httpjson"
	"auburnpier/internal/refusal"
)

// Bounds of previews. One looks at each backend server while it holds the plane's lock.
const (
	previewsPerSecond = 5
	previewBurst      = 5
)

// maxWaiting returns the bound of the queue's waiting requests.
func (c *Caller) maxWaiting() int {
	if c.Row.MaxWaiting <= 0 {
		return DefaultMaxWaiting
	}
	return c.Row.MaxWaiting
}

// previewPath returns the queue of a call GET /v1/queues/{queue}/preview.
func previewPath(r *http.Request) (domain.QueueID, bool) {
	path, found := strings.CutPrefix(r.URL.EscapedPath(), pathPrefix)
	name, rest, _ := strings.Cut(path, "/")
	id, err := url.PathUnescape(name)
	return domain.QueueID(id), found && err == nil && r.Method == http.MethodGet && name != "" && rest == "preview"
}

// servePreview tells what would become of a request to the queue now. Nothing is sent, queued or taken.
func (p *Plane) servePreview(w http.ResponseWriter, r *http.Request, queue domain.QueueID) {
	caller, err := p.admission.Admit(r, queue)
	if err != nil {
		p.writeRefusal(w, refusal.FromError(err))
		return
	}
	if !p.previews.Allow() {
		p.writeRefusal(w, refusal.New(http.StatusServiceUnavailable, refusal.InstanceOverloaded, "too many previews are asked for",
			"ask again after the time named; a preview is for people, send the request instead of polling").WithRetryAfter(time.Second))
		return
	}
	httpjson.Write(w, http.StatusOK, p.disp.preview(queue, &caller))
}

// preview decides as tryAcquire does, and takes nothing.
func (d *dispatcher) preview(queue domain.QueueID, caller *Caller) route.Preview {
	now := d.clock.Now()
	it := &route.Item{Team: caller.Team, Queue: queue, Share: caller.Share}
	d.mu.Lock()
	defer d.mu.Unlock()
	v := route.Preview{Queue: queue, Team: caller.Team, Outcome: route.PreviewWaits, Waiting: d.fair.Waiting(queue), MaxWaiting: caller.maxWaiting(),
		InFlight: d.fair.Running(caller.Team), MaxInFlight: d.teams.MaxInFlight(caller.Team)}
	if !d.table.Serves(queue) {
		ref := refuseNoServer(queue)
		v.Outcome, v.Reason, v.Remedy = route.PreviewRefused, ref.Message, ref.Remedy
		return v
	}
	server, views, free := d.table.Preview(queue, d.heldSlots, now)
	v.ServersTotal, v.FreeSlots = len(views), free
	v.Servers = views[:min(len(views), route.MaxPreviewServers)]
	v.Reason = d.mustWait(it)
	switch {
	case v.Reason == "" && server != nil:
		v.Outcome, v.Server = route.PreviewRuns, server.Info.ID
		return v
	case v.Reason == "":
		v.Reason = "no backend server of the queue has a free slot that this instance may use"
	}
	v.Remedy = "wait; a request goes to another instance of the region that reports a free slot"
	if v.Waiting >= v.MaxWaiting {
		v.Remedy = "send fewer requests at a time: the queue is full, so the team with the largest backlog for its share gets a refusal"
	}
	return v
}
