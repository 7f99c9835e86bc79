export * from "./prefix_hasher.js";
