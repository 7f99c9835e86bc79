import { createOpenApiDocument } from "./openapi.js";

// Prints the content of docs/openapi.json.
process.stdout.write(`${JSON.stringify(createOpenApiDocument(), null, 2)}\n`);
