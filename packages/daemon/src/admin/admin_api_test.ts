import { request } from "node:http";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  AdminFixture,
  type AdminResponse,
  CLIENT_KEY,
  sampleBundle,
} from "./admin_fixture.js";
import type { StoreFault } from "./memory_object_store.js";
import { sha256Hex } from "./sha256_hex.js";

describe("AdminApi", () => {
  let admin: AdminFixture;

  beforeEach(async () => {
    admin = await new AdminFixture().start(64 * 1024);
  });

  afterEach(() => admin.dispose());

  async function proposeAndActivate(weight: number): Promise<number> {
    return (await admin.activate(await admin.proposeAndSignOff(weight))).body
      .version;
  }

  async function acceptedVersions(): Promise<number[]> {
    const { body } = await admin.call("vera", "GET", "/history");
    return body.versions.map((entry: { version: number }) => entry.version);
  }

  /** Applies `fault` to the first write whose key starts with `prefix`. */
  function failFirstWrite(prefix: string, fault: StoreFault): void {
    let faultApplied = false;
    admin.store.fault = (operation, key) => {
      if (faultApplied || operation === "read" || !key.startsWith(prefix)) {
        return undefined;
      }
      faultApplied = true;
      return fault;
    };
  }

  /**
   * Returns the id of the proposal that created configuration version
   * `version`, as recorded in the store.
   */
  function recordedProposalId(version: number): string | undefined {
    const record = admin.store.peek(`config/versions/${version}`)?.value;
    return (record as { proposal_id: string } | undefined)?.proposal_id;
  }

  /** Modifies a stored object without the API, as an attacker could. */
  async function overwriteObject(
    key: string,
    change: (value: Record<string, unknown>) => Record<string, unknown>,
  ): Promise<void> {
    const found = (await admin.store.get(key))!;
    const value = change(found.value as Record<string, unknown>);
    await admin.store.update(key, value, found.version);
  }

  describe("a change", () => {
    it("is proposed, signed off, activated and listed with its operators", async () => {
      const first = await admin.proposeAndSignOff(1);
      expect((await admin.activate(first)).body.version).toBe(1);
      const second = await admin.proposeAndSignOff(2);
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
      expect((await admin.store.get("config/active"))?.value)
        .toEqual({ version: 2, digest: second.digest });
    });

    it("is listed in pages, the newest proposal first", async () => {
      const older = await admin.proposeAndSignOff(1);
      admin.clock.timeMs += 1;
      const newer = await admin.proposeAndSignOff(2);
      const { body } = await admin.call("vera", "GET", "/proposals?limit=1");
      expect(body.proposals).toMatchObject([{ id: newer.id }]);
      const next = await admin.call(
        "vera",
        "GET",
        `/proposals?after=${newer.id}`,
      );
      expect(next.body.proposals).toMatchObject([{ id: older.id }]);
    });

    it("is reviewed against the version in force, with measured traffic", async () => {
      await proposeAndActivate(1);
      const { id } = await admin.proposeAndSignOff(3);
      admin.traffic = new Map([["wiki", 30], ["portal", 10]]);
      const { body } = await admin.call(
        "anna",
        "GET",
        `/proposals/${id}/review`,
      );
      expect(body.in_force_version).toBe(1);
      expect(body.diff.changes).toEqual([{
        kind: "accounts",
        name: "wiki",
        change: "changed",
        fields: [{ key: "weight", before: 1, after: 3 }],
      }]);
      expect(body.diff.effect).toMatchObject({
        accounts: ["wiki"],
        traffic_share: 0.75,
        traffic_basis: "measured",
      });
    });

    it("is refused with all three mistakes of its two files at once", async () => {
      const bundle = sampleBundle() as Record<string, object[]>;
      const { status, body } = await admin.call("paula", "POST", "/proposals", {
        files: [
          { file: "pools.toml", bundle: { pools: [{ name: "chat" }] } },
          {
            file: "accounts.toml",
            bundle: {
              accounts: [
                { ...bundle.accounts[0], weight: -1 },
                { ...bundle.accounts[1], pools: ["chat", "missing"] },
              ],
            },
          },
        ],
      });
      expect(status).toBe(400);
      expect(body.error.code).toBe("invalid_bundle");
      const places = body.error.issues.map(
        (issue: { file: string; key: string }) => `${issue.file} ${issue.key}`,
      );
      expect(places).toEqual([
        "accounts.toml accounts.0.weight",
        "pools.toml pools.0.kind",
        "accounts.toml accounts.1.pools.1",
      ]);
    });
  });

  describe("sign-off", () => {
    it("is refused for the operator's own proposal", async () => {
      const { body } = await admin.call("peter", "POST", "/proposals", {
        files: [{ file: "b.toml", bundle: sampleBundle() }],
      });
      const path = `/proposals/${body.id}/sign-off`;
      const { digest } = body;
      const ownSignOff = await admin.call("peter", "POST", path, { digest });
      expect([ownSignOff.status, ownSignOff.body.error.code]).toEqual([
        403,
        "own_sign_off",
      ]);
      expect((await admin.activate(body)).body.error.code)
        .toBe("not_signed_off");
    });

    it("is refused for the digest of other content", async () => {
      const first = await admin.proposeAndSignOff(1);
      const { body } = await admin.call("paula", "POST", "/proposals", {
        files: [{ file: "b.toml", bundle: sampleBundle(2) }],
      });
      const { status } = await admin.call(
        "anna",
        "POST",
        `/proposals/${body.id}/sign-off`,
        { digest: first.digest },
      );
      expect(status).toBe(409);
    });

    it("is not valid when copied to another proposal", async () => {
      const signed = await admin.proposeAndSignOff(1);
      const { body: other } = await admin.call("paula", "POST", "/proposals", {
        files: [{ file: "b.toml", bundle: sampleBundle(2) }],
      });
      const source = (await admin.store.get(`config/proposals/${signed.id}`))!;
      const { sign_off } = source.value as { sign_off: object };
      const key = `config/proposals/${other.id}`;
      await overwriteObject(key, (value) => ({ ...value, sign_off }));
      const answer = await admin.activate(other);
      expect(answer.body.error.code).toBe("not_signed_off");
      expect(await acceptedVersions()).toEqual([]);
    });

    it("does not cover content that was changed afterwards", async () => {
      const signed = await admin.proposeAndSignOff(1);
      const { body: other } = await admin.call("paula", "POST", "/proposals", {
        files: [{ file: "b.toml", bundle: sampleBundle(2) }],
      });
      const { manifest, digest } = other;
      const key = `config/proposals/${signed.id}`;
      await overwriteObject(key, (value) => ({ ...value, manifest }));
      expect((await admin.activate(signed)).body.error.code)
        .toBe("corrupt_store");
      await overwriteObject(key, (value) => ({ ...value, manifest, digest }));
      expect((await admin.activate(signed)).body.error.code)
        .toBe("digest_mismatch");
      expect((await admin.activate({ id: signed.id, digest })).body.error.code)
        .toBe("not_signed_off");
      expect(await acceptedVersions()).toEqual([]);
    });

    it("is no longer valid when its operator loses the role", async () => {
      const signed = await admin.proposeAndSignOff(1);
      await overwriteObject("config/operators", ({ operators }) => ({
        operators: (operators as { name: string }[])
          .filter(({ name }) => name !== "anna"),
      }));
      expect((await admin.activate(signed)).body.error.code)
        .toBe("not_signed_off");
    });
  });

  describe("conflicting changes", () => {
    it("one of two activations wins and is named in the response to the other", async () => {
      await proposeAndActivate(1);
      const proposals = [
        await admin.proposeAndSignOff(2),
        await admin.proposeAndSignOff(3),
      ];
      const otherRouter = await admin.startServer();
      const answers = await Promise.all([
        admin.activate(proposals[0]),
        admin.activate(proposals[1], otherRouter),
      ]);
      expect(answers.map(({ status }) => status).sort()).toEqual([200, 409]);
      const winner = answers.findIndex(({ status }) => status === 200);
      expect(answers[1 - winner].body.error.message)
        .toContain(proposals[winner].id);
      expect(await acceptedVersions()).toEqual([2, 1]);
    });

    it("a proposal whose base is no longer in force is refused", async () => {
      const staleProposal = await admin.proposeAndSignOff(2);
      const first = await admin.proposeAndSignOff(3);
      await admin.activate(first);
      const { status, body } = await admin.activate(staleProposal);
      expect(status).toBe(409);
      expect(body.error.message).toContain(first.id);
    });

    it("a second sign-off is refused with the name of the first operator", async () => {
      const { id, digest } = await admin.proposeAndSignOff(1);
      const path = `/proposals/${id}/sign-off`;
      const second = await admin.call("arne", "POST", path, { digest });
      expect(second.status).toBe(409);
      expect(second.body.error.message).toContain("anna");
    });

    it("a paused activation is fenced off before its record is replaced", async () => {
      await proposeAndActivate(1);
      const paused = await admin.proposeAndSignOff(2);
      const other = await admin.proposeAndSignOff(3);
      let resume = () => {};
      const resumed = new Promise<void>((resolve) => {
        resume = resolve;
      });
      const answers: Promise<AdminResponse>[] = [];
      let isPaused = false;
      admin.store.fault = async (operation, key) => {
        if (operation === "read" || key !== "config/active") {
          return undefined;
        }
        if (!isPaused) {
          isPaused = true;
          await resumed;
          return undefined;
        }
        if (recordedProposalId(2) === other.id) {
          // The other activation has replaced the version record of the paused
          // one. Let the paused activation update the pointer before the other
          // one does.
          resume();
          await answers[0];
        }
        return undefined;
      };
      answers.push(admin.activate(paused));
      await vi.waitUntil(() => isPaused);
      admin.clock.timeMs += 60_000;
      expect((await admin.activate(other)).status).toBe(200);
      expect((await answers[0]).status).toBe(409);
      expect(admin.store.peek("config/active")?.value)
        .toEqual({ version: 2, digest: other.digest });
    });

    it("a paused activation cannot replace a later record", async () => {
      await proposeAndActivate(1);
      failFirstWrite("config/active", "unavailable");
      await admin.activate(await admin.proposeAndSignOff(2));
      const paused = await admin.proposeAndSignOff(3);
      const other = await admin.proposeAndSignOff(4);
      let resume = () => {};
      const resumed = new Promise<void>((resolve) => {
        resume = resolve;
      });
      const answers: Promise<AdminResponse>[] = [];
      let state: "running" | "fenced" | "paused" = "running";
      admin.store.fault = async (operation, key) => {
        if (key === "config/versions/2" && state === "fenced") {
          state = "paused";
          await resumed;
        } else if (operation === "write" && key === "config/active") {
          if (state === "running") {
            state = "fenced";
          } else if (recordedProposalId(2) === other.id) {
            resume();
            await answers[0];
          }
        }
        return undefined;
      };
      admin.clock.timeMs += 60_000;
      answers.push(admin.activate(paused));
      await vi.waitUntil(() => state === "paused");
      admin.clock.timeMs += 60_000;
      expect((await admin.activate(other)).status).toBe(200);
      expect((await answers[0]).status).toBe(409);
      expect(recordedProposalId(2)).toBe(other.id);
    });

    for (const isFirst of [true, false]) {
      const position = isFirst ? "first" : "later";
      it(`a paused ${position} activation cannot move the pointer`, async () => {
        if (!isFirst) {
          await proposeAndActivate(1);
        }
        const paused = await admin.proposeAndSignOff(2);
        const other = await admin.proposeAndSignOff(3);
        let intercepted = false;
        admin.store.fault = async (operation, key) => {
          if (
            operation === "write" && key === "config/active" && !intercepted
          ) {
            intercepted = true;
            const earlyAnswer = await admin.activate(other);
            expect(earlyAnswer.body.error.message).toContain(paused.id);
            admin.clock.timeMs += 60_000;
            expect((await admin.activate(other)).status).toBe(200);
          }
          return undefined;
        };
        const answer = await admin.activate(paused);
        expect(answer.status).toBe(409);
        expect(answer.body.error.message).toContain(other.id);
        const { body } = await admin.call("vera", "GET", "/history");
        expect(body.versions[0]).toMatchObject({
          proposal_id: other.id,
          digest: other.digest,
        });
        expect(body.versions).toHaveLength(isFirst ? 1 : 2);
      });
    }
  });

  describe("a lost response", () => {
    const writes = [
      "config/sections/",
      "config/proposals/",
      "config/versions/",
      "config/active",
    ];
    for (const fault of ["answer_lost", "write_lost"] as const) {
      for (const key of writes) {
        it(`is resolved by reading back (${fault} at ${key})`, async () => {
          await proposeAndActivate(1);
          const writtenKeys: string[] = [];
          admin.store.onWriteApplied = (written) => writtenKeys.push(written);
          failFirstWrite(key, fault);
          const proposal = await admin.proposeAndSignOff(2);
          expect((await admin.activate(proposal)).body).toMatchObject({
            version: 2,
            digest: proposal.digest,
          });
          expect(await acceptedVersions()).toEqual([2, 1]);
          const { body } = await admin.call("vera", "GET", "/proposals");
          expect(body.proposals).toHaveLength(2);
          // Five writes: one section, the proposal, its sign-off, the version
          // record and the pointer.
          expect(writtenKeys).toHaveLength(5);
        });
      }
    }

    it("is not reported as a conflict when the store fails again", async () => {
      const proposal = await admin.proposeAndSignOff(1);
      let writes = 0;
      admin.store.fault = async (operation, key) => {
        if (operation === "read" || key !== "config/active") {
          return undefined;
        }
        writes += 1;
        if (writes === 1) {
          return "applied_late";
        }
        await vi.waitUntil(() => admin.store.peek(key) !== undefined);
        admin.stopStore();
        return undefined;
      };
      const answer = await admin.activate(proposal);
      expect([answer.status, answer.body.error.code])
        .toEqual([504, "outcome_unknown"]);
      expect(writes).toBe(2);
    });

    it("is read back before anything is written again", async () => {
      const proposal = await admin.proposeAndSignOff(1);
      const calls: string[] = [];
      admin.store.fault = (operation, key) => {
        if (key !== "config/active") {
          return undefined;
        }
        calls.push(operation);
        return calls.filter((call) => call === "write").length === 1 &&
            operation === "write"
          ? "answer_lost"
          : undefined;
      };
      expect((await admin.activate(proposal)).status).toBe(200);
      expect(calls).toEqual(["read", "write", "read"]);
    });

    it("is resolved for a sign-off", async () => {
      const { body } = await admin.call("paula", "POST", "/proposals", {
        files: [{ file: "b.toml", bundle: sampleBundle() }],
      });
      failFirstWrite("config/proposals/", "answer_lost");
      const path = `/proposals/${body.id}/sign-off`;
      const { digest } = body;
      const answer = await admin.call("anna", "POST", path, { digest });
      expect(answer.status).toBe(200);
      expect(answer.body.sign_off.by).toBe("anna");
    });

    it("is reported as unknown while the store cannot be read", async () => {
      const proposal = await admin.proposeAndSignOff(1);
      admin.store.fault = (operation, key) => {
        if (operation === "read" || key !== "config/active") {
          return undefined;
        }
        admin.stopStore();
        return "answer_lost";
      };
      const answer = await admin.activate(proposal);
      expect(answer.status).toBe(504);
      expect(answer.body.error.code).toBe("outcome_unknown");
      expect(answer.body.error.message).toContain("history");

      admin.store.fault = () => undefined;
      const repeated = await admin.activate(proposal);
      expect(repeated.status).toBe(409);
      expect(repeated.body.error.message).toContain("in force already");
      expect(await acceptedVersions()).toEqual([1]);
    });
  });

  describe("a revert", () => {
    it("brings earlier content back as a new, higher version", async () => {
      const first = await admin.proposeAndSignOff(1);
      await admin.activate(first);
      await proposeAndActivate(2);
      const { status, body } = await admin.call("paula", "POST", "/revert", {
        version: 1,
      });
      expect(status).toBe(201);
      expect(body.digest).toBe(first.digest);
      expect((await admin.activate(body)).body.error.code)
        .toBe("not_signed_off");
      await admin.call("anna", "POST", `/proposals/${body.id}/sign-off`, {
        digest: body.digest,
      });
      expect((await admin.activate(body)).body).toMatchObject({
        version: 3,
        digest: first.digest,
        reverts_to_version: 1,
      });
    });

    it("is refused for a version number that was never accepted", async () => {
      failFirstWrite("config/active", "unavailable");
      const interrupted = await admin.proposeAndSignOff(1);
      expect((await admin.activate(interrupted)).status).toBe(503);
      const other = await admin.proposeAndSignOff(2);
      admin.clock.timeMs += 60_000;
      expect((await admin.activate(other)).body.version).toBe(2);
      const answer = await admin.call("paula", "POST", "/revert", {
        version: 1,
      });
      expect(answer.status).toBe(404);
      expect(await acceptedVersions()).toEqual([2]);
    });
  });

  describe("access", () => {
    async function statusWith(authorization?: string): Promise<number> {
      const headers = new Headers(
        authorization === undefined ? [] : [["authorization", authorization]],
      );
      const url = `${admin.url}/admin/v1/status`;
      return (await fetch(url, { headers })).status;
    }

    it("is refused without an operator's key", async () => {
      expect(await statusWith()).toBe(401);
      expect(await statusWith("Bearer wrong")).toBe(401);
      expect(await statusWith("Basic vera-key")).toBe(401);
      expect(await statusWith("Bearer vera-key")).toBe(200);
    });

    it("ends when the operator is removed", async () => {
      expect(await statusWith("Bearer vera-key")).toBe(200);
      await overwriteObject("config/operators", () => ({ operators: [] }));
      admin.clock.timeMs += 1000;
      expect(await statusWith("Bearer vera-key")).toBe(401);
    });

    it("reads the operators at most once a second, whoever calls", async () => {
      let reads = 0;
      admin.store.fault = (_operation, key) => {
        reads += key === "config/operators" ? 1 : 0;
        return undefined;
      };
      for (let i = 0; i < 5; i++) {
        await statusWith("Bearer wrong");
      }
      expect(reads).toBe(1);
    });

    it("is refused for the key of a client account", async () => {
      expect(await statusWith(`Bearer ${CLIENT_KEY}`)).toBe(403);
    });

    it("refuses an account that uses an operator's key", async () => {
      const bundle = sampleBundle() as { accounts: { key_hashes: string[] }[] };
      bundle.accounts[0].key_hashes = [sha256Hex("root-key")];
      const answer = await admin.call("paula", "POST", "/proposals", {
        files: [{ file: "b.toml", bundle }],
      });
      expect(answer.body.error.code).toBe("invalid_bundle");
    });

    const digest = "0".repeat(64);
    const calls: [string, string, unknown][] = [
      ["anna", "/proposals", { files: [{ file: "a", bundle: {} }] }],
      ["anna", "/revert", { version: 1 }],
      ["paula", "/proposals/p/sign-off", { digest }],
      ["anna", "/proposals/p/activate", { digest }],
      ["paula", "/drain/e-1", {}],
    ];
    for (const [operator, path, body] of calls) {
      it(`needs the role for ${path}`, async () => {
        const answer = await admin.call(operator, "POST", path, body);
        expect([answer.status, answer.body.error.code])
          .toEqual([403, "forbidden"]);
      });
    }

    it("never logs a key", async () => {
      await statusWith("Bearer some-mistyped-secret");
      expect(admin.logs).toHaveLength(1);
      expect(JSON.stringify(admin.logs)).not.toContain("secret");
    });
  });

  describe("input", () => {
    it("is limited in size, with or without content-length", async () => {
      const body = JSON.stringify({ note: "x".repeat(100_000) });
      const withLength = await admin.call("paula", "POST", "/proposals", body);
      expect([withLength.status, withLength.body.error.code])
        .toEqual([413, "too_large"]);
      const chunked = await fetch(`${admin.url}/admin/v1/revert`, {
        method: "POST",
        headers: { authorization: "Bearer paula-key" },
        body: new Blob([body]).stream(),
        duplex: "half",
      });
      expect(chunked.status).toBe(413);
    });

    it("is refused by its content-length before the body arrives", async () => {
      const status = await new Promise((resolve, reject) => {
        const call = request(`${admin.url}/admin/v1/revert`, {
          method: "POST",
          headers: {
            authorization: "Bearer paula-key",
            "content-length": 100_000,
          },
        });
        call.once("response", (answer) => {
          resolve(answer.statusCode);
          call.destroy();
        });
        call.once("error", reject);
        call.flushHeaders();
      });
      expect(status).toBe(413);
    });

    it("is refused with all issues when it is malformed", async () => {
      const answer = await admin.call("paula", "POST", "/revert", {
        version: "one",
        note: 7,
        other: true,
      });
      expect(answer.status).toBe(400);
      const keys = answer.body.error.issues.map(
        (issue: { key: string }) => issue.key,
      );
      expect(keys.sort()).toEqual(["note", "other", "version"]);
      const notJson = await admin.call("paula", "POST", "/revert", "{");
      expect([notJson.status, notJson.body.error.code])
        .toEqual([400, "bad_request"]);
      const query = await admin.call("vera", "GET", "/history?limit=0&x=1");
      expect(query.body.error.issues).toHaveLength(2);
    });

    it("is refused with 404 or 405 for an unknown path or method", async () => {
      expect((await admin.call("vera", "GET", "/nothing")).status).toBe(404);
      expect((await admin.call("vera", "POST", "/history")).status).toBe(405);
      expect((await admin.call("vera", "GET", "/proposals/none")).status)
        .toBe(404);
    });
  });

  describe("while the store is unavailable", () => {
    it("calls that need it get 503 and all others work", async () => {
      await admin.call("root", "GET", "/status");
      admin.stopStore();
      admin.clock.timeMs += 60_000;
      const history = await admin.call("root", "GET", "/history");
      expect([history.status, history.body.error.code])
        .toEqual([503, "store_unavailable"]);
      const status = await admin.call("root", "GET", "/status");
      expect(status.body).toEqual({
        store: "unavailable",
        active: null,
        fleet: { endpoints: 12 },
      });
      expect((await admin.call("root", "GET", "/explain/r-1")).status)
        .toBe(200);
      expect((await admin.call("root", "POST", "/drain/e-1", {})).status)
        .toBe(202);
      expect((await admin.call("root", "GET", "/report/burn")).status)
        .toBe(200);
      expect(admin.logs.map(({ name }) => name)).toContain("operators_stale");
    });
  });

  describe("fleet calls", () => {
    it("report unknown and unreachable targets", async () => {
      expect((await admin.call("root", "GET", "/explain/r-2")).status)
        .toBe(404);
      expect((await admin.call("root", "GET", "/report/none")).status)
        .toBe(404);
      expect((await admin.call("root", "POST", "/drain/e-2", {})).status)
        .toBe(404);
      admin.drainResult = "unreachable";
      const answer = await admin.call("root", "POST", "/drain/e-1", {});
      expect(answer.body.error.code).toBe("endpoint_unreachable");
    });
  });
});
