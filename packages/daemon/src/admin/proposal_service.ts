import { randomUUID } from "node:crypto";
import {
  type Bundle,
  type BundleDiff,
  type Clock,
  ConfigError,
  type ConfigIssue,
  ConfigKey,
  type ConfigVersion,
  diffBundles,
  formatBundleDiff,
  manifestDigest,
  type Operator,
  type Operators,
  type Proposal,
  type SectionedBundle,
  splitBundle,
  StoreConflictError,
} from "@anvildeal/core";
import { AdminError, conflictError } from "./admin_error.js";
import type { FleetStatusSource } from "./admin_services.js";
import type { ConfigRepository, Versioned } from "./config_repository.js";
import { sha256Hex } from "./sha256_hex.js";
import type { OperatorDirectory } from "./operator_directory.js";
import { writeAndResolve } from "./write_and_resolve.js";

/**
 * Proposal ids begin with this time minus the current time, so that newer
 * proposals sort first: the store lists keys in ascending order only. The time
 * is in the year 5138.
 */
const ID_TIME_LIMIT_MS = 99_999_999_999_999;

export interface ProposalRequest {
  readonly bundle: Bundle;
  readonly note: string;
  /** Version that must be in force; undefined accepts any version. */
  readonly basedOnVersion: number | undefined;
}

/** A proposal and its differences from the version in force. */
export interface ProposalReview {
  readonly proposal: Proposal;
  readonly in_force_version: number;
  /** False if another version has come into force since the proposal. */
  readonly is_current: boolean;
  readonly diff: BundleDiff;
  readonly lines: readonly string[];
}

/** Creates, reviews and signs off proposals. */
export class ProposalService {
  constructor(
    private readonly repository: ConfigRepository,
    private readonly operators: OperatorDirectory,
    private readonly clock: Clock,
    private readonly fleet: FleetStatusSource,
  ) {}

  /** Rejects with `AdminError` 409 if `basedOnVersion` is not in force. */
  async propose(
    { bundle, note, basedOnVersion }: ProposalRequest,
    by: Operator,
  ): Promise<Proposal> {
    const inForce = await this.repository.readInForce();
    const base = inForce?.version ?? 0;
    if (basedOnVersion !== undefined && basedOnVersion !== base) {
      throw conflictError(
        `The proposal is based on version ${basedOnVersion}, but ` +
          `${describeInForce(inForce)}. Compare with it and propose again.`,
      );
    }
    rejectOperatorKeys(bundle, await this.operators.read());
    const sectioned = splitIntoSections(bundle);
    await this.repository.writeSections(sectioned, inForce?.manifest);
    return this.#create({
      kind: "change",
      note,
      digest: manifestDigest(sectioned.manifest, sha256Hex),
      manifest: sectioned.manifest,
      based_on_version: base,
      proposed_by: by.name,
    });
  }

  /**
   * Proposes the content of an earlier version again. Rejects with `AdminError`
   * 404 if `version` is not an earlier accepted version.
   */
  async revert(version: number, note: string, by: Operator): Promise<Proposal> {
    const inForce = await this.repository.readInForce();
    const earlier = inForce && version < inForce.version
      ? await this.repository.readAccepted(version, inForce.version)
      : undefined;
    if (inForce === undefined || earlier === undefined) {
      throw new AdminError(
        404,
        "not_found",
        `Version ${version} is not an earlier accepted version; ` +
          `${describeInForce(inForce)}.`,
      );
    }
    const { digest, manifest } = earlier;
    const bundle = await this.repository.readBundle(manifest, digest);
    rejectOperatorKeys(bundle, await this.operators.read());
    return this.#create({
      kind: "revert",
      reverts_to_version: version,
      note,
      digest,
      manifest,
      based_on_version: inForce.version,
      proposed_by: by.name,
    });
  }

  list(limit: number, afterId?: string): Promise<Proposal[]> {
    return this.repository.listProposals(limit, afterId);
  }

  async get(id: string): Promise<Versioned<Proposal>> {
    const proposal = await this.repository.readProposal(id);
    if (proposal === undefined) {
      throw new AdminError(404, "not_found", `There is no proposal ${id}.`);
    }
    return proposal;
  }

  async review(id: string): Promise<ProposalReview> {
    const { value: proposal } = await this.get(id);
    const after = await this.repository.readBundle(
      proposal.manifest,
      proposal.digest,
    );
    const { version, diff, lines } = await this.compare(after);
    return {
      proposal,
      in_force_version: version,
      is_current: version === proposal.based_on_version,
      diff,
      lines,
    };
  }

  /** Compares a bundle with the one in force. */
  async compare(
    after: Bundle,
  ): Promise<{ version: number; diff: BundleDiff; lines: string[] }> {
    const inForce = await this.repository.readInForce();
    const before = inForce &&
      await this.repository.readBundle(inForce.manifest, inForce.digest);
    const diff = diffBundles(before, after, this.fleet.traffic());
    const lines = formatBundleDiff(diff);
    return { version: inForce?.version ?? 0, diff, lines };
  }

  /**
   * Stores the sign-off of the content with `digest`.
   *
   * Rejects with `AdminError` when `by` is the proposer, when `digest` is not
   * the digest of the proposal, or when another operator has already signed
   * off.
   */
  async signOff(id: string, digest: string, by: Operator): Promise<Proposal> {
    const { value: proposal, objectVersion } = await this.get(id);
    if (proposal.proposed_by === by.name) {
      throw new AdminError(
        403,
        "own_sign_off",
        `${by.name} proposed this change; another operator must sign it off.`,
      );
    }
    requireDigest(proposal, digest);
    if (proposal.sign_off !== undefined) {
      throw alreadySignedOffError(proposal);
    }
    const signOffId = randomUUID();
    const signedOff: Proposal = {
      ...proposal,
      sign_off: {
        id: signOffId,
        proposal_id: id,
        digest,
        by: by.name,
        at_ms: Math.floor(this.clock.wallMs()),
      },
    };
    try {
      await writeAndResolve(this.repository.store, {
        key: ConfigKey.proposal(id),
        value: signedOff,
        ifVersion: objectVersion,
        isOwnWrite: ({ value }) =>
          (value as Proposal | null)?.sign_off?.id === signOffId,
        adviceIfUnknown: `Show proposal ${id}; if it has no sign-off of ` +
          `${by.name}, sign off again.`,
      });
    } catch (error) {
      throw error instanceof StoreConflictError
        ? alreadySignedOffError((await this.get(id)).value)
        : error;
    }
    return signedOff;
  }

  async #create(
    fields: Omit<Proposal, "id" | "proposed_at_ms">,
  ): Promise<Proposal> {
    const nowMs = Math.floor(this.clock.wallMs());
    const id = newProposalId(nowMs);
    const proposal: Proposal = { id, ...fields, proposed_at_ms: nowMs };
    await writeAndResolve(this.repository.store, {
      key: ConfigKey.proposal(id),
      value: proposal,
      ifVersion: undefined,
      // The id is random, so an object that is found there is this proposal.
      isOwnWrite: () => true,
      adviceIfUnknown: `List the proposals; if ${id} is not among them, ` +
        "propose again.",
    });
    return proposal;
  }
}

/** Throws `AdminError` 409 unless `digest` is that of the proposal. */
export function requireDigest(proposal: Proposal, digest: string): void {
  if (proposal.digest !== digest) {
    throw new AdminError(
      409,
      "digest_mismatch",
      `Proposal ${proposal.id} has the digest ${proposal.digest}, ` +
        `not ${digest}. Review it again.`,
    );
  }
}

/** Describes the version in force and its operators, for error messages. */
export function describeInForce(inForce: ConfigVersion | undefined): string {
  return inForce === undefined
    ? "no version is in force"
    : `version ${inForce.version} is in force (proposal ` +
      `${inForce.proposal_id}, proposed by ${inForce.proposed_by}, activated ` +
      `by ${inForce.activated_by})`;
}

function newProposalId(nowMs: number): string {
  const sortPrefix = String(ID_TIME_LIMIT_MS - nowMs).padStart(14, "0");
  return `${sortPrefix}-${randomUUID().slice(0, 8)}`;
}

function alreadySignedOffError(proposal: Proposal): AdminError {
  return conflictError(
    `Proposal ${proposal.id} was signed off by ` +
      `${proposal.sign_off?.by ?? "another operator"} already.`,
  );
}

/** Throws `AdminError` 400 when the bundle cannot be stored. */
function splitIntoSections(bundle: Bundle): SectionedBundle {
  try {
    return splitBundle(bundle, sha256Hex);
  } catch (error) {
    if (error instanceof ConfigError) {
      throw new AdminError(
        400,
        "invalid_bundle",
        "The bundle cannot be stored.",
        error.issues,
      );
    }
    throw error;
  }
}

/**
 * Rejects accounts that use the key of an operator, since their callers would
 * have access to the administration API.
 */
function rejectOperatorKeys(bundle: Bundle, { operators }: Operators): void {
  const hashes = new Set(operators.map((operator) => operator.key_hash));
  const issues: ConfigIssue[] = bundle.accounts
    .filter((account) => account.key_hashes.some((hash) => hashes.has(hash)))
    .map((account) => ({
      file: "(bundle)",
      key: `accounts.${account.name}.key_hashes`,
      found: "the key of an operator",
      allowed: "a client account must not use an operator's key",
    }));
  if (issues.length > 0) {
    throw new AdminError(
      400,
      "invalid_bundle",
      "An account uses the key of an operator.",
      issues,
    );
  }
}
