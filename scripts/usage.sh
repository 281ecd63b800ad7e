#!/usr/bin/env bash
# Writes docs/usage from the help texts of the program; with --check it fails if docs/usage is out of date.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
unset FLAMINGOREACH_KEY FLAMINGOREACH_OPERATOR_TOKEN
go build -o "$folder/flamingoreach" ./cmd/flamingoreach
mkdir "$folder/usage"

# Prints the names of the subcommands in a help text.
subcommands() { sed -n '/^COMMANDS:/,/^[A-Z]/s/^   \([a-zA-Z]*\)  .*/\1/p' | grep -v '^help$' || true; }

# Prints the help texts of a command and of its subcommands.
describe() { # words of the command
  local help sub
  help="$("$folder/flamingoreach" "$@" --help | sed 's/ *$//')"
  printf '## flamingoreach%s\n\n```\n%s\n```\n\n' "${*:+ $*}" "$help"
  for sub in $(printf '%s\n' "$help" | subcommands); do describe "$@" "$sub"; done
}

for command in $("$folder/flamingoreach" --help | subcommands); do
  {
    printf '# flamingoreach %s\n\nMade by scripts/usage.sh from the help texts.\n\n' "$command"
    describe "$command"
  } | sed -e :a -e '/^\n*$/{$d;N;ba' -e '}' >"$folder/usage/$command.md"
done
{
  printf '# Commands\n\nMade by scripts/usage.sh from the help texts.\n\n'
  for file in "$folder"/usage/*.md; do
    name="$(basename "$file" .md)"
    printf -- '- [flamingoreach %s](%s.md)\n' "$name" "$name"
  done
} >"$folder/README.md"
mv "$folder/README.md" "$folder/usage/README.md"

if [ "${1:-}" = "--check" ]; then
  diff -r docs/usage "$folder/usage" || { echo "docs/usage is not up to date: bash scripts/usage.sh" >&2; exit 1; }
  exit 0
fi
rm -rf docs/usage
mv "$folder/usage" docs/usage
