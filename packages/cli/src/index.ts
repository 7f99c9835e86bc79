export * from "./cli.js";
export * from "./cli_io.js";
export * from "./exit_code.js";
