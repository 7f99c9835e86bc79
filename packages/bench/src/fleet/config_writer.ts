import { createHash } from "node:crypto";
import { type Bundle, manifestDigest, splitBundle } from "@anvildeal/core";
import { FleetError } from "./fleet_error.js";
import { callJson } from "./json_client.js";

export function sha256Hex(text: string): string {
  return createHash("sha256").update(text, "utf8").digest("hex");
}

interface ActiveObject {
  readonly version: number;
  readonly value: { readonly version: number; readonly digest: string };
}

/**
 * Writes configurations to the object API without the administration API. Only
 * one writer may run at a time, because two could choose the same version
 * number.
 */
export class ConfigWriter {
  constructor(private readonly objectApiUrl: string) {}

  async writeOperators(operators: unknown): Promise<void> {
    await this.#createIfAbsent("config/operators", operators);
  }

  /**
   * Stores the bundle and points `config/active` to it. Returns the number of
   * the new version. Throws {@link FleetError} if another writer has changed
   * `config/active` in the meantime.
   */
  async activate(bundle: Bundle): Promise<number> {
    const { manifest, sections } = splitBundle(bundle, sha256Hex);
    for (const [digest, content] of Object.entries(sections)) {
      await this.#createIfAbsent(`config/sections/${digest}`, content);
    }
    const active = await this.#readActive();
    const version = (active?.value.version ?? 0) + 1;
    const digest = manifestDigest(manifest, sha256Hex);
    const now = Date.now();
    await this.#createIfAbsent(`config/versions/${version}`, {
      version,
      digest,
      manifest,
      activation_id: `bench-${version}-${now}`,
      proposal_id: `bench-${version}`,
      kind: "change",
      note: "written by the bench",
      based_on_version: version - 1,
      proposed_by: "bench",
      proposed_at_ms: now,
      approved_by: "bench-approver",
      approved_at_ms: now,
      activated_by: "bench",
      activated_at_ms: now,
    });
    await this.#updateActive(active, { version, digest });
    return version;
  }

  async #readActive(): Promise<ActiveObject | undefined> {
    const answer = await callJson(`${this.objectApiUrl}/objects/config/active`);
    return answer.status === 200 ? answer.body as ActiveObject : undefined;
  }

  async #updateActive(
    before: ActiveObject | undefined,
    pointer: ActiveObject["value"],
  ): Promise<void> {
    const condition: Record<string, string> = before === undefined
      ? { "if-none-match": "*" }
      : { "if-match": `"${before.version}"` };
    const answer = await callJson(
      `${this.objectApiUrl}/objects/config/active`,
      { method: "PUT", headers: condition, body: pointer },
    );
    if (answer.status !== 200) {
      throw new FleetError(
        `config/active was not updated: status ${answer.status}, expected 200`,
      );
    }
  }

  /** Leaves an existing object as it is. */
  async #createIfAbsent(key: string, value: unknown): Promise<void> {
    const answer = await callJson(`${this.objectApiUrl}/objects/${key}`, {
      method: "PUT",
      headers: { "if-none-match": "*" },
      body: value,
    });
    if (answer.status !== 200 && answer.status !== 412) {
      throw new FleetError(
        `${key} was not stored: status ${answer.status}, expected 200 or 412`,
      );
    }
  }
}
