export * from "./admission/index.js";
export * from "./clock.js";
export * from "./config/index.js";
export * from "./execution/index.js";
export * from "./store/index.js";
export * from "./wire/index.js";
