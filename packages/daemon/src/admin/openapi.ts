import { z } from "zod";
import { ADMIN_PREFIX, ADMIN_ROUTES, type AdminRoute } from "./admin_routes.js";
import { ErrorResponseSchema } from "./admin_responses.js";

/** Error statuses that every call may respond with. */
const ERROR_STATUSES: Readonly<Record<string, string>> = {
  400: "The input is not valid; `issues` lists every mistake.",
  401: "The operator key is missing or unknown.",
  403: "The key is a client account's, or the operator lacks the role.",
  404: "What the path names does not exist.",
  409: "Another change came first; the message names it.",
  413: "The body is too large.",
  500: "An object in the store is not valid, or the router has a fault.",
  503: "The object API or the endpoint does not answer.",
  504: "The outcome of a write is unknown; the message says what to do.",
};

/** The OpenAPI document of the administration API, docs/openapi.json. */
export function createOpenApiDocument(): Record<string, unknown> {
  const paths: Record<string, Record<string, unknown>> = {};
  for (const route of ADMIN_ROUTES) {
    const operations = paths[route.path] ?? {};
    operations[route.method.toLowerCase()] = operationOf(route);
    paths[route.path] = operations;
  }
  return {
    openapi: "3.1.0",
    info: { title: "anvildeal administration API", version: "1" },
    servers: [{ url: ADMIN_PREFIX }],
    security: [{ operator_key: [] }],
    paths,
    components: {
      securitySchemes: { operator_key: { type: "http", scheme: "bearer" } },
      schemas: { Error: schemaOf(ErrorResponseSchema) },
      responses: errorComponents(),
    },
  };
}

function operationOf(route: AdminRoute): Record<string, unknown> {
  const parameters = [...pathParameters(route), ...queryParameters(route)];
  return {
    operationId: route.call,
    summary: route.summary,
    description: `Roles: ${[...route.roles, "admin"].join(", ")}.` +
      (route.needsStore ? " Needs the object API." : ""),
    ...(parameters.length === 0 ? {} : { parameters }),
    ...(route.body === undefined ? {} : {
      requestBody: {
        required: true,
        content: jsonContent(schemaOf(route.body)),
      },
    }),
    responses: {
      [route.successStatus]: {
        description: "Success.",
        content: jsonContent(schemaOf(route.response)),
      },
      ...errorResponses(),
    },
  };
}

function pathParameters({ path }: AdminRoute): unknown[] {
  return [...path.matchAll(/\{(\w+)\}/g)].map(([, name]) => ({
    name,
    in: "path",
    required: true,
    schema: { type: "string" },
  }));
}

function queryParameters({ query }: AdminRoute): unknown[] {
  const { properties } = schemaOf(query) as {
    properties: Record<string, unknown>;
  };
  return Object.entries(properties).map(([name, schema]) => ({
    name,
    in: "query",
    required: false,
    schema,
  }));
}

function errorResponses(): Record<string, unknown> {
  return Object.fromEntries(
    Object.keys(ERROR_STATUSES).map((status) => [
      status,
      { $ref: `#/components/responses/Error${status}` },
    ]),
  );
}

function errorComponents(): Record<string, unknown> {
  const content = jsonContent({ $ref: "#/components/schemas/Error" });
  return Object.fromEntries(
    Object.entries(ERROR_STATUSES).map(([status, description]) => [
      `Error${status}`,
      { description, content },
    ]),
  );
}

/** JSON schema of input, in which keys with a default are optional. */
function schemaOf(schema: z.ZodType): Record<string, unknown> {
  const { $schema: _dialect, ...rest } = z.toJSONSchema(schema, {
    io: "input",
  });
  return rest;
}

function jsonContent(schema: unknown): unknown {
  return { "application/json": { schema } };
}
