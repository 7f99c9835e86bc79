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
 * one writer may be active at a time: it does not settle races for a version.
 */
export class ConfigWriter {
  constructor(private readonly objectApiUrl: string) {}

  async writeOperators(operators: unknown): Promise<void> {
    await this.#create("config/operators", operators);
  }

  /**
   * Stores the bundle and moves `config/active` to it; returns the number of
   * the accepted version. Throws {@link FleetError} if another one came first.
   */
  async accept(bundle: Bundle): Promise<number> {
    const { manifest, sections } = splitBundle(bundle, sha256Hex);
    for (const [digest, content] of Object.entries(sections)) {
      await this.#create(`config/sections/${digest}`, content);
    }
    const active = await this.#readActive();
    const version = (active?.value.version ?? 0) + 1;
    const digest = manifestDigest(manifest, sha256Hex);
    const now = Date.now();
    await this.#create(`config/versions/${version}`, {
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
    await this.#moveActive(active, { version, digest });
    return version;
  }

  async #readActive(): Promise<ActiveObject | undefined> {
    const answer = await callJson(`${this.objectApiUrl}/objects/config/active`);
    return answer.status === 200 ? answer.body as ActiveObject : undefined;
  }

  async #moveActive(
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
      throw new FleetError(`config/active was not moved: ${answer.status}`);
    }
  }

  /** An existing object is kept, because sections are immutable. */
  async #create(key: string, value: unknown): Promise<void> {
    const answer = await callJson(`${this.objectApiUrl}/objects/${key}`, {
      method: "PUT",
      headers: { "if-none-match": "*" },
      body: value,
    });
    if (answer.status !== 200 && answer.status !== 412) {
      throw new FleetError(`${key} was not stored: ${answer.status}`);
    }
  }
}
