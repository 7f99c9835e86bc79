import { readFileSync } from "node:fs";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { AdminFixture, sampleBundle } from "./admin_fixture.js";
import { ErrorResponseSchema } from "./admin_responses.js";
import { ADMIN_ROUTES, type AdminCall } from "./admin_routes.js";
import { createOpenApiDocument } from "./openapi.js";

const DOCUMENT_URL = new URL(
  "../../../../docs/openapi.json",
  import.meta.url,
);

interface Operation {
  readonly operationId: string;
}

type Paths = Record<string, Record<string, Operation>>;

describe("docs/openapi.json", () => {
  const document = JSON.parse(readFileSync(DOCUMENT_URL, "utf8")) as {
    paths: Paths;
  };
  let admin: AdminFixture;

  beforeAll(async () => {
    admin = await new AdminFixture().start();
  });

  afterAll(() => admin.dispose());

  it("is generated from the routes", () => {
    // If this fails, regenerate the stored document with:
    // node packages/daemon/dist/admin/openapi_main.js
    const generated = JSON.parse(JSON.stringify(createOpenApiDocument()));
    expect(document).toEqual(generated);
  });

  it("describes the response of the server to every call", async () => {
    const signed = await admin.proposeAndSignOff(1);
    await admin.activate(signed);
    await admin.activate(await admin.proposeAndSignOff(2));
    const files = [{ file: "b.toml", bundle: sampleBundle(3) }];
    const pending = (await admin.call("paula", "POST", "/proposals", {
      files,
    })).body;
    const next = await admin.proposeAndSignOff(4);
    const inputs: Record<AdminCall, { id?: string; body?: object }> = {
      diff: { body: { files } },
      propose: { body: { files } },
      list_proposals: {},
      show_proposal: { id: signed.id },
      review: { id: signed.id },
      sign_off: { id: pending.id, body: { digest: pending.digest } },
      activate: { id: next.id, body: { digest: next.digest } },
      revert: { body: { version: 1 } },
      history: {},
      status: {},
      explain: { id: "r-1" },
      drain: { id: "e-1", body: {} },
      report: { id: "burn" },
    };
    const described = Object.entries(document.paths).flatMap((
      [path, operations],
    ) =>
      Object.entries(operations).map(([method, { operationId }]) => ({
        path,
        method: method.toUpperCase(),
        call: operationId as AdminCall,
      }))
    );
    expect(described.map(({ call }) => call).sort())
      .toEqual(Object.keys(inputs).sort());
    for (const { path, method, call } of described) {
      const { id = "", body } = inputs[call];
      const filled = path.replace(/\{\w+\}/, id);
      const answer = await admin.call("root", method, filled, body);
      const route = ADMIN_ROUTES.find((route) => route.call === call)!;
      expect([call, answer.status]).toEqual([call, route.successStatus]);
      expect(route.response.safeParse(answer.body).error).toBeUndefined();
    }
  });

  it("describes the error response", async () => {
    const { body } = await admin.call("root", "POST", "/revert", {});
    expect(ErrorResponseSchema.strict().safeParse(body).error)
      .toBeUndefined();
    expect(body.error.issues).toHaveLength(1);
  });
});
