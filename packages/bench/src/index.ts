export * from "./percentile.js";
