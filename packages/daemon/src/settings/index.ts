export * from "./load_settings.js";
