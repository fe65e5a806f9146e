package cli

import "fmt"

// completionScript has bash run the tool itself to list completions.
const completionScript = `_bambooyard() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _bambooyard bambooyard`

type completionCommand struct{ tool *tool }

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.tool.out, completionScript)
	return err
}
