package ctl

// bashCompletionScript gets the completions from the program itself, through the protocol of go-flags.
const bashCompletionScript = `_rudderctl() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
    return 0
}
complete -o default -F _rudderctl rudderctl
`

type completionCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	if c.app.JSON {
		return c.app.writeJSON(map[string]string{"bash": bashCompletionScript})
	}
	c.app.printf("%s", bashCompletionScript)
	return nil
}
