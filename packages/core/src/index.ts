export * from "./clock.js";
export * from "./config/index.js";
export * from "./placement/index.js";
export * from "./store/index.js";
export * from "./wire/index.js";
