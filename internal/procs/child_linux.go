package procs

import (
	"io"
	"os/exec"
	"runtime"
	"syscall"
)

// run starts the command, reports the start's error and waits for the end. The
// kernel kills the child when the thread that started it ends, so the thread
// is kept until the child has ended: a parent that is killed leaves no child
// behind. The child has a process group of its own, so that an interrupt at
// the terminal reaches the parent alone, which then stops its group in order.
func run(cmd *exec.Cmd, log io.Closer, started chan<- error, ended func(error)) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err := cmd.Start()
	started <- err
	if err == nil {
		err = cmd.Wait()
	}
	_ = log.Close()
	ended(err)
}
