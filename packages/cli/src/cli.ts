import { ConfigError, formatConfigIssue } from "@anvildeal/core";
import { cac } from "cac";
import { AdminClient, checkAdminUrl } from "./admin_client.js";
import { CliError, invalidBundleError, usageError } from "./cli_error.js";
import type { CliIo } from "./cli_io.js";
import type {
  Command,
  CommandContext,
  CommandOptions,
  CommandResult,
} from "./command.js";
import { COMMAND_GROUPS, COMMANDS } from "./commands.js";
import { ExitCode } from "./exit_code.js";
import { suggest } from "./suggest.js";

const VERSION = "0.1.0";

/**
 * Runs the command line `argv`, which does not include the program's name, and
 * returns the exit code of the process. Errors are printed, not thrown.
 */
export async function runCli(
  argv: readonly string[],
  io: CliIo,
): Promise<ExitCode> {
  try {
    const result = await runCommand(joinCommandWords(argv), io);
    if (result !== undefined) {
      const asJson = argv.includes("--json");
      io.writeOut(asJson ? JSON.stringify(result.json) : result.text);
    }
    return ExitCode.ok;
  } catch (error) {
    const failure = toCliError(error);
    printError(failure, argv.includes("--json"), io);
    return failure.exitCode;
  }
}

/** Returns undefined when cac has printed the help or the version. */
async function runCommand(
  argv: readonly string[],
  io: CliIo,
): Promise<CommandResult | undefined> {
  const cli = createCac(io);
  cli.parse(["node", "anvildeal", ...argv], { run: false });
  if (cli.options.help || cli.options.version) {
    return undefined;
  }
  if (cli.matchedCommand === undefined) {
    throw unknownCommandError(cli.args);
  }
  return await cli.runMatchedCommand() as CommandResult;
}

function createCac(io: CliIo) {
  const cli = cac("anvildeal");
  cli.option(
    "--admin-url <url>",
    "Admin URL of a router (default: $ANVILDEAL_ADMIN_URL)",
  );
  cli.option("--json", "Print the result or error as JSON");
  cli.help();
  cli.version(VERSION);
  for (const command of COMMANDS) {
    const cacCommand = cli.command(
      `${command.name} ${command.usage}`.trim(),
      command.description,
    );
    for (const { flags, description } of command.options) {
      cacCommand.option(flags, description);
    }
    cacCommand.action((...given: unknown[]) => {
      const options = given.pop() as CommandOptions;
      const args = given.flat().filter((arg) => arg !== undefined).map(String);
      return command.run(createContext(command, io, options), args);
    });
  }
  return cli;
}

function createContext(
  command: Command,
  io: CliIo,
  options: CommandOptions,
): CommandContext {
  return {
    io,
    options,
    client: () => createClient(io, options),
    confirm: async (question) => {
      if (options.yes === true) {
        return;
      }
      if (!io.interactive) {
        throw usageError(
          `"${command.name}" asks for confirmation; without a terminal, give --yes.`,
        );
      }
      if (!await io.confirm(question)) {
        throw new CliError(
          ExitCode.failed,
          "not_confirmed",
          "Not confirmed; nothing was changed.",
        );
      }
    },
  };
}

function createClient(io: CliIo, options: CommandOptions): AdminClient {
  const url = options.adminUrl ?? io.env.ANVILDEAL_ADMIN_URL;
  const key = io.env.ANVILDEAL_OPERATOR_KEY;
  if (url === undefined || url === "") {
    throw usageError(
      "No router given: set ANVILDEAL_ADMIN_URL or give --admin-url.",
    );
  }
  if (key === undefined || key === "") {
    throw usageError("No operator key given: set ANVILDEAL_OPERATOR_KEY.");
  }
  return new AdminClient(checkAdminUrl(String(url)), key);
}

/**
 * Joins the two words of a command such as `config check` into one argument,
 * because cac matches a command by a single argument.
 */
function joinCommandWords(argv: readonly string[]): string[] {
  const index = argv.findIndex((arg) => COMMAND_GROUPS.has(arg));
  const second = argv[index + 1];
  if (index < 0 || second === undefined || second.startsWith("-")) {
    return [...argv];
  }
  const joined = `${argv[index]} ${second}`;
  return [...argv.slice(0, index), joined, ...argv.slice(index + 2)];
}

function unknownCommandError(args: readonly string[]): CliError {
  const names = COMMANDS.map(({ name }) => name);
  if (args.length === 0) {
    return usageError(`No command given. Commands: ${names.join(", ")}.`);
  }
  const typed = args.join(" ").split(" ");
  const candidates = [1, 2].flatMap((words) =>
    suggest(
      typed.slice(0, words).join(" "),
      names.filter((name) => name.split(" ").length === words),
    )
  );
  const inGroup = names.filter((name) => name.startsWith(`${typed[0]} `));
  const hints = candidates.length > 0 ? candidates : inGroup;
  const hint = hints.length === 0
    ? "Run anvildeal --help for the list of commands."
    : `Did you mean: ${hints.join(", ")}?`;
  const shown = typed.slice(0, COMMAND_GROUPS.has(typed[0]) ? 2 : 1).join(" ");
  return usageError(`Unknown command "${shown}". ${hint}`);
}

function toCliError(error: unknown): CliError {
  if (error instanceof CliError) {
    return error;
  }
  if (error instanceof ConfigError) {
    return invalidBundleError(error);
  }
  if (error instanceof Error && error.name === "CACError") {
    return usageError(`${error.message}. ${optionHint(error.message)}`);
  }
  return new CliError(ExitCode.failed, "failed", String(error));
}

function optionHint(message: string): string {
  const typed = /Unknown option `(--?[^`]+)`/.exec(message)?.[1];
  const flags = COMMANDS.flatMap(({ options }) =>
    options.map((option) => option.flags.split(" ")[0])
  );
  const known = [...new Set([...flags, "--json", "--admin-url"])];
  const hints = typed === undefined ? [] : suggest(typed, known);
  return hints.length === 0
    ? "Run the command with --help for its options."
    : `Did you mean: ${hints.join(", ")}?`;
}

function printError(error: CliError, asJson: boolean, io: CliIo): void {
  const { code, message, issues, details } = error;
  if (asJson) {
    const body = { code, message, ...(issues.length > 0 ? { issues } : {}) };
    io.writeOut(JSON.stringify({ error: body, ...details }));
    return;
  }
  issues.forEach((issue) => io.writeError(formatConfigIssue(issue)));
  io.writeError(`anvildeal: ${message}`);
}
