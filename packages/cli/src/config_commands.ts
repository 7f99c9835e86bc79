import type { ConfigVersion, Proposal } from "@anvildeal/core";
import {
  describeDiff,
  type DiffAnswer,
  fetchDiff,
} from "./bundle_comparison.js";
import { readBundleFiles } from "./bundle_files.js";
import { usageError } from "./cli_error.js";
import type { Command, CommandContext, CommandOption } from "./command.js";
import { check } from "./config_check_command.js";
import { formatTable } from "./table.js";

const NOTE_OPTION: CommandOption = {
  flags: "--note <text>",
  description: "Reason for the change, stored with the proposal",
};
const YES_OPTION: CommandOption = {
  flags: "--yes",
  description: "Do not ask for confirmation",
};
const LIMIT_OPTION: CommandOption = {
  flags: "--limit <count>",
  description: "Maximum number of entries (default: 20)",
};

interface ReviewAnswer extends DiffAnswer {
  readonly proposal: Proposal;
  readonly is_current: boolean;
}

const diff: Command = {
  name: "config diff",
  usage: "[...files]",
  description: "Compare bundle files with the version in force",
  options: [],
  async run(context, paths) {
    const files = await readBundleFiles(paths);
    const answer = await fetchDiff(context.client(), files);
    return { json: answer, text: describeDiff(answer) };
  },
};

const propose: Command = {
  name: "config propose",
  usage: "[...files]",
  description: "Store bundle files as a proposal for review",
  options: [NOTE_OPTION, {
    flags: "--based-on <version>",
    description: "Reject the proposal unless this version is in force",
  }],
  async run(context, paths) {
    const files = await readBundleFiles(paths);
    const basedOn = integerOption(context, "basedOn");
    const json = await context.client().post("/proposals", {
      files,
      note: noteOf(context),
      ...(basedOn === undefined ? {} : { based_on_version: basedOn }),
    });
    return { json, text: describeProposal(json as Proposal) };
  },
};

const review: Command = {
  name: "config review",
  usage: "[id]",
  description: "Show the changes of a proposal; without an id, list proposals",
  options: [LIMIT_OPTION],
  async run(context, [id]) {
    if (id === undefined) {
      return listProposals(context);
    }
    const json = await context.client().get(`${proposalPath(id)}/review`);
    return { json, text: describeReview(json as ReviewAnswer) };
  },
};

const approve: Command = {
  name: "config approve",
  usage: "<id> [digest]",
  description: "Sign off a proposal that another operator made",
  options: [YES_OPTION],
  async run(context, [id, reviewedDigest]) {
    const digest = reviewedDigest ?? await reviewAndConfirm(context, id);
    const path = `${proposalPath(id)}/sign-off`;
    const json = await context.client().post(path, { digest });
    return { json, text: `signed off digest ${digest} of proposal ${id}` };
  },
};

const activate: Command = {
  name: "config activate",
  usage: "<id> [digest]",
  description: "Put a signed-off proposal in force on the whole fleet",
  options: [YES_OPTION],
  async run(context, [id, givenDigest]) {
    const client = context.client();
    const digest = givenDigest ??
      (await client.get(proposalPath(id)) as Proposal).digest;
    await context.confirm(`Activate digest ${digest} on the whole fleet?`);
    const json = await client.post(`${proposalPath(id)}/activate`, { digest });
    const { version } = json as ConfigVersion;
    return { json, text: `version ${version} is in force` };
  },
};

const history: Command = {
  name: "config history",
  usage: "",
  description: "List accepted versions with their operators and times",
  options: [LIMIT_OPTION, {
    flags: "--before <version>",
    description: "List only versions lower than this one",
  }],
  async run(context) {
    const json = await context.client().get(
      `/history${queryOf(context, ["limit", "before"])}`,
    );
    const { versions } = json as { versions: ConfigVersion[] };
    const rows = versions.map((version) => ({
      version: version.version,
      activated: isoTime(version.activated_at_ms),
      "based on": version.based_on_version,
      proposed: version.proposed_by,
      approved: version.approved_by,
      "activated by": version.activated_by,
      digest: version.digest.slice(0, 12),
      note: version.reverts_to_version === undefined
        ? version.note
        : `reverts to ${version.reverts_to_version}; ${version.note}`,
    }));
    const text = rows.length === 0 ? "no accepted versions" : formatTable(rows);
    return { json, text };
  },
};

const revert: Command = {
  name: "config revert",
  usage: "<version>",
  description: "Propose the content of an earlier version again",
  options: [NOTE_OPTION],
  async run(context, [version]) {
    if (!/^[1-9]\d{0,14}$/.test(version)) {
      throw usageError(
        `"${version}" is not a version number; give a whole number from 1.`,
      );
    }
    const json = await context.client().post("/revert", {
      version: Number(version),
      note: noteOf(context),
    });
    return { json, text: describeProposal(json as Proposal) };
  },
};

export const CONFIG_COMMANDS: readonly Command[] = [
  check,
  diff,
  propose,
  review,
  approve,
  activate,
  history,
  revert,
];

/**
 * Shows the proposal, asks the operator to confirm the sign-off and returns the
 * digest of the proposal.
 */
async function reviewAndConfirm(
  context: CommandContext,
  id: string,
): Promise<string> {
  if (context.options.yes === true) {
    throw usageError(
      "--yes needs the reviewed digest: config approve <id> <digest> --yes.",
    );
  }
  const json = await context.client().get(`${proposalPath(id)}/review`);
  const answer = json as ReviewAnswer;
  context.io.writeError(describeReview(answer));
  await context.confirm(`Sign off digest ${answer.proposal.digest}?`);
  return answer.proposal.digest;
}

async function listProposals(context: CommandContext) {
  const json = await context.client().get(
    `/proposals${queryOf(context, ["limit"])}`,
  );
  const { proposals } = json as { proposals: Proposal[] };
  const rows = proposals.map((proposal) => ({
    id: proposal.id,
    proposed: isoTime(proposal.proposed_at_ms),
    by: proposal.proposed_by,
    "based on": proposal.based_on_version,
    "signed off by": proposal.sign_off?.by,
    note: proposal.note,
  }));
  const text = rows.length === 0 ? "no proposals" : formatTable(rows);
  return { json, text };
}

function describeProposal(proposal: Proposal): string {
  return [
    `proposal ${proposal.id}`,
    `digest   ${proposal.digest}`,
    `based on version ${proposal.based_on_version}`,
    `next: another operator runs: anvildeal config approve ${proposal.id}`,
  ].join("\n");
}

function describeReview(answer: ReviewAnswer): string {
  const { proposal, is_current, in_force_version, lines } = answer;
  const signOff = proposal.sign_off === undefined
    ? "not signed off"
    : `signed off by ${proposal.sign_off.by}`;
  return [
    `proposal ${proposal.id} by ${proposal.proposed_by}, ${signOff}`,
    `digest   ${proposal.digest}`,
    ...proposal.note === "" ? [] : [`note     ${proposal.note}`],
    ...is_current ? [] : [
      `based on version ${proposal.based_on_version}, which is not in force; ` +
      "the proposal cannot be activated",
    ],
    `compared with version ${in_force_version}:`,
    ...lines,
  ].join("\n");
}

function proposalPath(id: string): string {
  return `/proposals/${encodeURIComponent(id)}`;
}

function noteOf({ options }: CommandContext): string {
  return options.note === undefined ? "" : String(options.note);
}

function integerOption(
  { options }: CommandContext,
  name: string,
): number | undefined {
  const value = options[name];
  if (value === undefined) {
    return undefined;
  }
  if (!Number.isSafeInteger(value) || Number(value) < 0) {
    throw usageError(`--${name} needs a whole number, 0 or greater.`);
  }
  return Number(value);
}

function queryOf(context: CommandContext, names: readonly string[]): string {
  const query = new URLSearchParams();
  for (const name of names) {
    const value = integerOption(context, name);
    if (value !== undefined) {
      query.set(name, String(value));
    }
  }
  return query.size === 0 ? "" : `?${query}`;
}

function isoTime(wallMs: number): string {
  return new Date(wallMs).toISOString();
}
