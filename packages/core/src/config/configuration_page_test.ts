import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { z } from "zod";
import { BundleSchema, NameSchema } from "./bundle_schema.js";
import {
  RouterSettingsSchema,
  SidecarSettingsSchema,
} from "./settings_schema.js";

interface JsonSchema {
  readonly type?: string;
  readonly const?: unknown;
  readonly enum?: readonly string[];
  readonly pattern?: string;
  readonly default?: unknown;
  readonly items?: JsonSchema;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly exclusiveMaximum?: number;
}

const UNITS: Readonly<Record<string, string>> = {
  _ms: "ms",
  _bytes: "bytes",
  _tokens: "tokens",
  _per_s: "1/s",
  _requests: "requests",
  _days: "days",
};

const NAME_PATTERN = (z.toJSONSchema(NameSchema) as JsonSchema).pattern;

/** First four columns of the rows that the page must have for a schema. */
function expectedRows(schema: JsonSchema, prefix = ""): string[] {
  const table = schema.type === "array" ? schema.items! : schema;
  return Object.entries(table.properties!).flatMap(([name, value]) => {
    const key = prefix + name;
    const nested = value.type === "array" ? value.items : value;
    if (nested?.type === "object") {
      return expectedRows(value, `${key}.`);
    }
    const required = table.required?.includes(name) ?? false;
    const unit = Object.keys(UNITS).find((suffix) => key.endsWith(suffix));
    const columns = [
      `\`${key}\``,
      permittedValuesText(value),
      unit === undefined ? "-" : UNITS[unit],
      required ? "required" : defaultOf(value),
    ];
    return [columns.join(" | ")];
  });
}

function defaultOf(schema: JsonSchema): string {
  return schema.default === undefined
    ? "none"
    : `\`${JSON.stringify(schema.default)}\``;
}

function permittedValuesText(schema: JsonSchema): string {
  switch (schema.type) {
    case "array":
      return `list of ${permittedValuesText(schema.items!)}`;
    case "boolean":
      return "boolean";
    case "integer":
    case "number":
      return [schema.type + lowerBound(schema), upperBound(schema)]
        .filter((part) => part !== "").join(", ");
  }
  if (schema.enum !== undefined) {
    return schema.enum.map((value) => `\`${value}\``).join(", ");
  }
  if (schema.pattern === NAME_PATTERN) {
    return "name";
  }
  return schema.pattern === "^[0-9a-f]{64}$"
    ? "SHA-256 in hexadecimal digits"
    : "text";
}

function lowerBound({ minimum, exclusiveMinimum }: JsonSchema): string {
  return exclusiveMinimum === undefined
    ? minimum === undefined ? "" : ` >= ${minimum}`
    : ` > ${exclusiveMinimum}`;
}

function upperBound({ maximum, exclusiveMaximum }: JsonSchema): string {
  return exclusiveMaximum === undefined
    ? maximum === undefined || maximum === Number.MAX_SAFE_INTEGER
      ? ""
      : `<= ${maximum}`
    : `< ${exclusiveMaximum}`;
}

describe("docs/configuration.md", () => {
  const page = readFileSync(
    new URL("../../../../docs/configuration.md", import.meta.url),
    "utf8",
  );
  const rows = page.split("\n")
    .map((line) => line.split(" | ").map((cell) => cell.replace(/^\| /, "")))
    .filter((cells) => cells.length === 5 && cells[0].startsWith("`"));

  it("lists every key of the schemas with values, unit and default", () => {
    const schemas = [BundleSchema, RouterSettingsSchema, SidecarSettingsSchema];
    const expected = schemas.flatMap((schema) =>
      expectedRows(z.toJSONSchema(schema, { io: "input" }) as JsonSchema)
    ).filter((row) => !row.startsWith("`role`"));
    const found = rows.map((cells) => cells.slice(0, 4).join(" | "));
    expect(found.sort()).toEqual([...new Set(expected)].sort());
  });

  it("says what every key means", () => {
    expect(rows.filter(([, , , , meaning]) => meaning.length < 10))
      .toEqual([]);
  });
});
