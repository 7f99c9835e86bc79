import type { Command } from "./command.js";

export const SHELLS = ["bash", "zsh", "fish"] as const;
export type Shell = typeof SHELLS[number];

/** Options that every command accepts; `createCac` declares them. */
const GLOBAL_FLAGS = ["--admin-url", "--json", "--help", "--version"];

/** Returns a shell script that completes the commands of `anvildeal`. */
export function completionScript(
  shell: Shell,
  commands: readonly Command[],
): string {
  switch (shell) {
    case "bash":
      return bashScript(commands);
    case "zsh":
      return [
        "autoload -U +X bashcompinit && bashcompinit",
        bashScript(commands),
      ].join("\n");
    case "fish":
      return fishScript(commands);
  }
}

function bashScript(commands: readonly Command[]): string {
  const cases = [...secondWords(commands)].map(([first, words]) =>
    `    ${first}) words="${words.join(" ")}" ;;`
  );
  const flags = [...new Set(commands.flatMap(flagsOf)), ...GLOBAL_FLAGS];
  return [
    "_anvildeal() {",
    '  local words="" current="${COMP_WORDS[COMP_CWORD]}"',
    '  if [[ "$current" == -* ]]; then',
    `    words="${flags.join(" ")}"`,
    '  elif [[ "$COMP_CWORD" == 1 ]]; then',
    `    words="${firstWords(commands).join(" ")}"`,
    '  elif [[ "$COMP_CWORD" == 2 ]]; then',
    '    case "${COMP_WORDS[1]}" in',
    ...cases,
    "    esac",
    "  fi",
    '  COMPREPLY=($(compgen -W "$words" -- "$current"))',
    "}",
    "complete -o default -F _anvildeal anvildeal",
  ].join("\n");
}

function fishScript(commands: readonly Command[]): string {
  const lines = commands.flatMap(({ name, description }) => {
    const [first, second] = name.split(" ");
    const word = second ?? first;
    const condition = second === undefined
      ? "__fish_use_subcommand"
      : `__fish_seen_subcommand_from ${first}`;
    const about = description.replaceAll("'", "\\'");
    return `complete -c anvildeal -n '${condition}' -a ${word} -d '${about}'`;
  });
  const groups = [...secondWords(commands).keys()].filter((word) =>
    !commands.some(({ name }) => name === word)
  );
  return [
    ...groups.map((group) =>
      `complete -c anvildeal -n '__fish_use_subcommand' -a ${group}`
    ),
    ...lines,
  ].join("\n");
}

function firstWords(commands: readonly Command[]): string[] {
  return [...new Set(commands.map(({ name }) => name.split(" ")[0]))];
}

function secondWords(commands: readonly Command[]): Map<string, string[]> {
  const words = new Map<string, string[]>();
  for (const { name } of commands) {
    const [first, second] = name.split(" ");
    if (second !== undefined) {
      words.set(first, [...words.get(first) ?? [], second]);
    }
  }
  return words;
}

function flagsOf({ options }: Command): string[] {
  return options.map(({ flags }) => flags.split(" ")[0]);
}
