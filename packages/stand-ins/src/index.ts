export * from "./listen.js";
