import type { Bundle } from "@anvildeal/core";
import { sha256Hex } from "./config_writer.js";
import { callJson } from "./json_client.js";

/**
 * Thrown when the administration API refuses a call. `code` is the error code
 * of the answer, or the whole body as JSON if the body has no error code.
 */
export class AdminCallError extends Error {
  override readonly name = "AdminCallError";

  constructor(readonly status: number, readonly code: string, call: string) {
    super(`POST ${call} was refused with status ${status}, code ${code}`);
  }
}

interface Proposal {
  readonly id: string;
  readonly digest: string;
}

/** Two operators, because nobody may sign off their own proposal. */
const PROPOSER = "bench-proposer";
const APPROVER = "bench-approver";

function operatorKey(operator: string): string {
  return `operator-key-of-${operator}`;
}

/** Value of the object `config/operators` that {@link AdminClient} needs. */
export const BENCH_OPERATORS = {
  operators: [
    {
      name: PROPOSER,
      key_hash: sha256Hex(operatorKey(PROPOSER)),
      roles: ["proposer", "activator"],
    },
    {
      name: APPROVER,
      key_hash: sha256Hex(operatorKey(APPROVER)),
      roles: ["approver"],
    },
  ],
};

/** Rolls out configurations through the administration API of a router. */
export class AdminClient {
  constructor(private readonly adminUrl: string) {}

  /**
   * Proposes, signs off and activates a bundle; returns the accepted version.
   * Throws {@link AdminCallError} when a step is refused.
   */
  async rollOut(bundle: Bundle): Promise<number> {
    const proposal = await this.#post<Proposal>(PROPOSER, "/proposals", {
      files: [{ file: "bench.toml", bundle }],
      note: "written by the bench",
    });
    const path = `/proposals/${proposal.id}`;
    const body = { digest: proposal.digest };
    await this.#post(APPROVER, `${path}/sign-off`, body);
    const { version } = await this.#post<{ readonly version: number }>(
      PROPOSER,
      `${path}/activate`,
      body,
    );
    return version;
  }

  async #post<T>(operator: string, path: string, body: unknown): Promise<T> {
    const answer = await callJson(`${this.adminUrl}/admin/v1${path}`, {
      method: "POST",
      headers: { authorization: `Bearer ${operatorKey(operator)}` },
      body,
    });
    if (answer.status >= 300) {
      const error = answer.body as {
        readonly error?: { readonly code?: string };
      };
      throw new AdminCallError(
        answer.status,
        error?.error?.code ?? JSON.stringify(answer.body),
        path,
      );
    }
    return answer.body as T;
  }
}
