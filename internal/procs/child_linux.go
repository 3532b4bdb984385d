package procs

import (
	"io"
	"os/exec"
	"runtime"
	"syscall"
)

// run starts the command, sends the start error on started and waits until the
// child exits. With Pdeathsig the kernel kills the child when the thread that
// started it exits, so a killed parent leaves no child behind; run therefore
// locks its thread until the child has exited. The child has its own process
// group, so an interrupt at the terminal reaches only the parent, which then
// stops its Group in order.
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
