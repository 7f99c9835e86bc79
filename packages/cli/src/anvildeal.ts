import { runCli } from "./cli.js";
import { ProcessIo } from "./process_io.js";

process.exitCode = await runCli(process.argv.slice(2), new ProcessIo());
