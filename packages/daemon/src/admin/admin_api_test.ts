import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { AdminFixture } from "./admin_fixture.js";

describe("AdminApi", () => {
  let admin: AdminFixture;

  beforeEach(async () => {
    admin = await new AdminFixture().start();
  });

  afterEach(() => admin.dispose());

  describe("the way of a change", () => {
    it("is proposed, signed off, activated and listed with who", async () => {
      const first = await admin.proposeSigned(1);
      expect((await admin.activate(first)).body.version).toBe(1);
      const second = await admin.proposeSigned(2);
      expect((await admin.activate(second)).body.version).toBe(2);

      const { status, body } = await admin.call("vera", "GET", "/history");
      expect(status).toBe(200);
      expect(body.versions).toMatchObject([
        { version: 2, digest: second.digest, based_on_version: 1 },
        {
          version: 1,
          proposed_by: "paula",
          approved_by: "anna",
          activated_by: "arne",
          activated_at_ms: admin.clock.timeMs,
        },
      ]);
    });
  });
});
