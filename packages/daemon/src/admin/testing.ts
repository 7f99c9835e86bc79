export * from "./admin_fixture.js";
export * from "./memory_object_store.js";
