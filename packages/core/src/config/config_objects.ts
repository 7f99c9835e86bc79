import { z } from "zod";
import { NameSchema } from "./bundle_schema.js";

/** Largest value that the object API stores, in bytes of its JSON text. */
export const MAX_OBJECT_BYTES = 1_000_000;

/** Keys of the configuration in the object API. */
export const ConfigKey = {
  active: "config/active",
  operators: "config/operators",
  proposalPrefix: "config/proposals/",
  section: (digest: string) => `config/sections/${digest}`,
  version: (version: number) => `config/versions/${version}`,
  proposal: (id: string) => `config/proposals/${id}`,
} as const;

/** A SHA-256 digest in hexadecimal digits. */
export const DigestSchema = z.string().regex(
  /^[0-9a-f]{64}$/,
  "expected a SHA-256 digest in 64 hexadecimal digits",
);

/** Digests by section name; the content is at `config/sections/<digest>`. */
export const ManifestSchema = z.record(z.string(), DigestSchema);

/** Value of `config/active`: the version that operators activated last. */
export const ActivePointerSchema = z.object({
  version: z.int().positive(),
  digest: DigestSchema,
});
export type ActivePointer = z.infer<typeof ActivePointerSchema>;

const wallMs = z.int().nonnegative();

/** Approval of a proposal's exact content by another operator. */
export const SignOffSchema = z.object({
  id: z.string(),
  proposal_id: z.string(),
  digest: DigestSchema,
  by: NameSchema,
  at_ms: wallMs,
});
export type SignOff = z.infer<typeof SignOffSchema>;

/** Value of `config/proposals/<id>`. */
export const ProposalSchema = z.object({
  id: z.string(),
  kind: z.enum(["change", "revert"]),
  /** The version whose content a revert restores. */
  reverts_to_version: z.int().positive().optional(),
  note: z.string(),
  digest: DigestSchema,
  manifest: ManifestSchema,
  /** Version in `config/active` when this was proposed; 0 if there was none. */
  based_on_version: z.int().nonnegative(),
  proposed_by: NameSchema,
  proposed_at_ms: wallMs,
  sign_off: SignOffSchema.optional(),
});
export type Proposal = z.infer<typeof ProposalSchema>;

/**
 * Value of `config/versions/<n>`. The version is accepted only once
 * `config/active` has reached its number; until then a later activation may
 * replace it.
 */
export const ConfigVersionSchema = z.object({
  version: z.int().positive(),
  digest: DigestSchema,
  manifest: ManifestSchema,
  /** Distinguishes activations that compete for the same version number. */
  activation_id: z.string(),
  proposal_id: z.string(),
  kind: z.enum(["change", "revert"]),
  reverts_to_version: z.int().positive().optional(),
  note: z.string(),
  based_on_version: z.int().nonnegative(),
  proposed_by: NameSchema,
  proposed_at_ms: wallMs,
  approved_by: NameSchema,
  approved_at_ms: wallMs,
  activated_by: NameSchema,
  activated_at_ms: wallMs,
});
export type ConfigVersion = z.infer<typeof ConfigVersionSchema>;

/** What an operator may do; `admin` includes all others. */
export const OperatorRoleSchema = z.enum([
  "viewer",
  "proposer",
  "approver",
  "activator",
  "admin",
]);
export type OperatorRole = z.infer<typeof OperatorRoleSchema>;

export const OperatorSchema = z.strictObject({
  name: NameSchema,
  /** SHA-256 of the operator's key. The key itself is not stored. */
  key_hash: DigestSchema,
  roles: z.array(OperatorRoleSchema).min(1),
});
export type Operator = z.infer<typeof OperatorSchema>;

/** Value of `config/operators`. */
export const OperatorsSchema = z.strictObject({
  operators: z.array(OperatorSchema).max(1000),
}).superRefine(({ operators }, context) => {
  operators.forEach((operator, index) => {
    for (const field of ["name", "key_hash"] as const) {
      const firstIndex = operators.findIndex((o) =>
        o[field] === operator[field]
      );
      if (firstIndex !== index) {
        context.addIssue({
          code: "custom",
          path: ["operators", index, field],
          message: `must differ from operators.${firstIndex}.${field}`,
        });
      }
    }
  });
});
export type Operators = z.infer<typeof OperatorsSchema>;
