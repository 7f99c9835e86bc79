import { randomUUID } from "node:crypto";
import {
  type ActivePointer,
  type Clock,
  ConfigKey,
  type ConfigVersion,
  type Operator,
  type Proposal,
  StoreConflictError,
  type StoredObject,
  StoreUnknownOutcomeError,
} from "@anvildeal/core";
import { AdminError, conflictError } from "./admin_error.js";
import type { ConfigRepository, Versioned } from "./config_repository.js";
import { hasRole, type OperatorDirectory } from "./operator_directory.js";
import {
  describeInForce,
  type ProposalService,
  requireDigest,
} from "./proposal_service.js";
import { writeAndResolve } from "./write_and_resolve.js";

/**
 * Age above which a version record is taken to belong to an interrupted
 * activation, if the pointer still names a lower version. An activation that is
 * not interrupted ends sooner, since it takes only a few store calls.
 */
const INTERRUPTED_AFTER_MS = 10_000;
/**
 * Maximum number of attempts to fence off other activations by rewriting
 * `config/active`.
 */
const MAX_FENCE_ATTEMPTS = 5;

/**
 * Makes a signed-off proposal the version in force.
 *
 * The record `config/versions/<n>` is written first, then the pointer
 * `config/active` is updated to name it. Only the last writer of the record may
 * update the pointer. An activation that takes over from an interrupted one
 * first reads the interrupted activation's record. It then rewrites the pointer
 * with the same value, so that the object version of the pointer rises, and
 * replaces the record only if it is unchanged since the read. Late conditional
 * writes of the interrupted activation then fail.
 */
export class ActivationService {
  constructor(
    private readonly repository: ConfigRepository,
    private readonly proposals: ProposalService,
    private readonly operators: OperatorDirectory,
    private readonly clock: Clock,
  ) {}

  /**
   * Activates the proposal if `digest` is the digest of its content. Rejects
   * with `AdminError` 409 when another change came first; the error names that
   * change. Rejects with `AdminError` 504 when the outcome is unknown.
   */
  async activate(
    id: string,
    digest: string,
    by: Operator,
  ): Promise<ConfigVersion> {
    const { value: proposal } = await this.proposals.get(id);
    requireDigest(proposal, digest);
    await this.#checkSignOff(proposal);
    // This read rejects when a section or the manifest differs from the content
    // that was signed off.
    await this.repository.readSections(proposal.manifest, proposal.digest);
    const active = await this.repository.readActive();
    if ((active?.value.version ?? 0) !== proposal.based_on_version) {
      throw await this.#baseChangedError(proposal);
    }
    const record = this.#newRecord(proposal, by);
    return active === undefined
      ? this.#activateFirst(record)
      : this.#activateNext(record, active);
  }

  /** Accepted versions, newest first; only those below `before` if given. */
  async history(limit: number, before?: number): Promise<ConfigVersion[]> {
    const active = await this.repository.readActive();
    let next = active?.value.version ?? 0;
    if (before !== undefined && before <= next) {
      const start = await this.repository.readVersion(before);
      next = start?.value.based_on_version ?? before - 1;
    }
    const versions: ConfigVersion[] = [];
    // Follows `based_on_version` instead of counting down: version numbers left
    // by interrupted first activations were never accepted, and no accepted
    // version is based on one of them.
    while (next > 0 && versions.length < limit) {
      const found = await this.repository.readVersion(next);
      if (found === undefined) {
        break;
      }
      versions.push(found.value);
      next = found.value.based_on_version;
    }
    return versions;
  }

  async #checkSignOff(proposal: Proposal): Promise<void> {
    const signOff = proposal.sign_off;
    if (signOff === undefined) {
      throw notSignedOffError(`Proposal ${proposal.id} is not signed off yet.`);
    }
    const { operators } = await this.operators.read();
    const signer = operators.find((operator) => operator.name === signOff.by);
    if (signer === undefined || !hasRole(signer, ["approver"])) {
      throw notSignedOffError(`${signOff.by} may not sign off any more.`);
    }
    if (signOff.by === proposal.proposed_by) {
      throw notSignedOffError("The sign-off is by the proposer.");
    }
    const sameContent = signOff.digest === proposal.digest &&
      signOff.proposal_id === proposal.id;
    if (!sameContent) {
      throw notSignedOffError(
        `The sign-off is for digest ${signOff.digest} of proposal ` +
          `${signOff.proposal_id}, not for this content.`,
      );
    }
  }

  #newRecord(proposal: Proposal, by: Operator): ConfigVersion {
    const signOff = proposal.sign_off as NonNullable<Proposal["sign_off"]>;
    return {
      version: proposal.based_on_version + 1,
      digest: proposal.digest,
      manifest: proposal.manifest,
      activation_id: randomUUID(),
      proposal_id: proposal.id,
      kind: proposal.kind,
      ...(proposal.reverts_to_version === undefined
        ? {}
        : { reverts_to_version: proposal.reverts_to_version }),
      note: proposal.note,
      based_on_version: proposal.based_on_version,
      proposed_by: proposal.proposed_by,
      proposed_at_ms: proposal.proposed_at_ms,
      approved_by: signOff.by,
      approved_at_ms: signOff.at_ms,
      activated_by: by.name,
      activated_at_ms: Math.floor(this.clock.wallMs()),
    };
  }

  /**
   * Activates a version when none is active yet. An interrupted activation may
   * still be running, and while there is no pointer to rewrite, its late write
   * cannot be made to fail. So its version number is not reused: the first free
   * number is taken.
   */
  async #activateFirst(first: ConfigVersion): Promise<ConfigVersion> {
    for (let version = 1;; version++) {
      const record = { ...first, version };
      const existing = await this.#createRecord(record);
      if (existing === undefined) {
        await this.#movePointer(record, undefined);
        return record;
      }
      this.#rejectWhileInProgress(existing.value, record);
    }
  }

  async #activateNext(
    record: ConfigVersion,
    active: Versioned<ActivePointer>,
  ): Promise<ConfigVersion> {
    const existing = await this.#createRecord(record);
    if (existing === undefined) {
      await this.#movePointer(record, active.objectVersion);
      return record;
    }
    this.#rejectWhileInProgress(existing.value, record);
    // The existing record must be read before the fence. A record that is read
    // after the fence could belong to an activation that fenced later than this
    // one; that activation would then move the pointer to the record that is
    // written here.
    const fencedVersion = await this.#fence(record, active);
    await this.#replaceRecord(record, existing.objectVersion);
    await this.#movePointer(record, fencedVersion);
    return record;
  }

  /**
   * Creates the version record. Resolves to the existing record when the
   * version number is already used, otherwise to undefined.
   */
  async #createRecord(
    record: ConfigVersion,
  ): Promise<Versioned<ConfigVersion> | undefined> {
    try {
      await this.#putRecord(record, undefined);
      return undefined;
    } catch (error) {
      if (!(error instanceof StoreConflictError)) {
        throw error;
      }
      const existing = await this.repository.readVersion(record.version);
      if (existing === undefined) {
        throw error;
      }
      return existing;
    }
  }

  async #replaceRecord(
    record: ConfigVersion,
    ifVersion: number,
  ): Promise<void> {
    try {
      await this.#putRecord(record, ifVersion);
    } catch (error) {
      throw error instanceof StoreConflictError
        ? await this.#concurrentActivationError(record)
        : error;
    }
  }

  #putRecord(
    record: ConfigVersion,
    ifVersion: number | undefined,
  ): Promise<void> {
    return writeAndResolve(this.repository.store, {
      key: ConfigKey.version(record.version),
      value: record,
      ifVersion,
      isOwnWrite: ({ value }) => isActivation(value, record),
      adviceIfUnknown: "The change is not in force; activate it again.",
    });
  }

  /**
   * Rewrites the pointer unchanged. Updates by other activations then fail,
   * since they name the earlier object version of the pointer. Resolves to the
   * new object version. A write with an unknown outcome is repeated.
   */
  async #fence(
    record: ConfigVersion,
    active: Versioned<ActivePointer>,
  ): Promise<number> {
    let current = active;
    for (let attempt = 0; attempt < MAX_FENCE_ATTEMPTS; attempt++) {
      try {
        return await this.repository.store.update(
          ConfigKey.active,
          current.value,
          current.objectVersion,
        );
      } catch (error) {
        const canRetry = error instanceof StoreConflictError ||
          error instanceof StoreUnknownOutcomeError;
        if (!canRetry) {
          throw error;
        }
      }
      const latest = await this.repository.readActive();
      if (latest?.value.version !== record.based_on_version) {
        throw await this.#concurrentActivationError(record);
      }
      current = latest;
    }
    throw conflictError("Other activations are under way; activate again.");
  }

  async #movePointer(
    record: ConfigVersion,
    ifVersion: number | undefined,
  ): Promise<void> {
    const { version, digest } = record;
    try {
      await writeAndResolve(this.repository.store, {
        key: ConfigKey.active,
        value: { version, digest },
        ifVersion,
        isOwnWrite: (found) => this.#isAccepted(found, record),
        adviceIfUnknown: `Look for version ${version} in the history; if its ` +
          `activation_id is ${record.activation_id}, the change was accepted. ` +
          "If the version is missing, activate the proposal again.",
      });
    } catch (error) {
      throw error instanceof StoreConflictError
        ? await this.#concurrentActivationError(record)
        : error;
    }
  }

  /**
   * Whether the stored pointer `found` shows that the version that this
   * activation wrote is or was in force.
   */
  async #isAccepted(
    found: StoredObject,
    record: ConfigVersion,
  ): Promise<boolean> {
    const pointer = found.value as ActivePointer;
    const stored = await this.repository.readAccepted(
      record.version,
      pointer.version,
    );
    return stored !== undefined && isActivation(stored, record);
  }

  #rejectWhileInProgress(existing: ConfigVersion, record: ConfigVersion): void {
    const ageMs = this.clock.wallMs() - existing.activated_at_ms;
    const sameProposal = existing.proposal_id === record.proposal_id &&
      existing.activated_by === record.activated_by;
    if (ageMs < INTERRUPTED_AFTER_MS && !sameProposal) {
      throw conflictError(
        `Proposal ${existing.proposal_id} is being activated by ` +
          `${existing.activated_by} as version ${existing.version}.`,
      );
    }
  }

  async #baseChangedError(proposal: Proposal): Promise<AdminError> {
    const inForce = await this.repository.readInForce();
    return conflictError(
      inForce?.proposal_id === proposal.id
        ? `Proposal ${proposal.id} is in force already as version ` +
          `${inForce.version}, activated by ${inForce.activated_by}.`
        : `Proposal ${proposal.id} is based on version ` +
          `${proposal.based_on_version}, but ${describeInForce(inForce)}. ` +
          "Propose the change again on top of it.",
    );
  }

  async #concurrentActivationError(record: ConfigVersion): Promise<AdminError> {
    const inForce = await this.repository.readInForce();
    if ((inForce?.version ?? 0) >= record.version) {
      return conflictError(
        `Another activation came first: ${describeInForce(inForce)}.`,
      );
    }
    const existing = await this.repository.readVersion(record.version);
    return conflictError(
      `Proposal ${existing?.value.proposal_id} is being activated by ` +
        `${existing?.value.activated_by} as version ${record.version}.`,
    );
  }
}

function isActivation(value: unknown, record: ConfigVersion): boolean {
  const found = value as ConfigVersion | null;
  return found?.activation_id === record.activation_id;
}

function notSignedOffError(message: string): AdminError {
  return new AdminError(409, "not_signed_off", message);
}
