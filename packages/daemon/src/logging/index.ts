export * from "./logger.js";
