export * from "./exit_code.js";
