// Package interference estimates how much tasks of one image slow down tasks of another image on the same worker. The estimate for an ordered
// pair (victim, neighbour) comes from the progress of running tasks, compared with that of the same step under other neighbours. The package
// performs no I/O and has no clock of its own.
//
// For a window of time of one run, the logarithm of its speed is modelled as
//
//	step + worker + sum over neighbour images of share x effect(victim, neighbour) + noise
//
// where share is the fraction of the window in which a task of the image was on the worker. Step and worker are removed by subtracting the means of
// the step, and those of the same image on the same worker, from the speed and from the shares. The effects are normally distributed around zero and
// are updated together, so that each takes as much of an unexpected speed as it is uncertain. docs/design/interference.md has the reasons.
package interference
