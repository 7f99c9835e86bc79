export * from "./evacuations.js";
