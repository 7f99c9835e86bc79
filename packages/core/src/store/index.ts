export * from "./object_store.js";
export * from "./store_error.js";
