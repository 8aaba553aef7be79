/**
 * Implements `micaworks duties`, which shows the holder of each role as reported by each node. Operators call a role a
 * duty.
 */
import { parseRoleName } from '#roles';
import {
  requestRoleStatus,
  requestResignation,
  type RolesAnswer,
  type RoleAnswer,
  type OpenIntentsAnswer,
  type RefusedActionAnswer,
} from '#operations';
import { validateAddress } from './address.js';
import {
  requireAnswer,
  type NodeAnswers,
  type NodesOptions,
  printUnresponsive,
  splitAnswers,
} from './answers.js';
import { CommandFailure, UsageError } from './errors.js';
import { formatTable, type Print, printJson } from './output.js';

const HEADINGS = ['NODE', 'DUTY', 'STATE', 'HOLDER', 'TERM', 'SINCE', 'LEASE', 'OPEN', 'LAST REFUSED'];

/** Prints the state of each role as reported by each node. Throws {@link CommandFailure} if no node answers. */
export async function showRoles({ node, json }: NodesOptions, print: Print): Promise<void> {
  const answers = splitAnswers(await requestRoleStatus(node.map(validateAddress)));
  if (json) printJson(print, answers);
  else printTable(answers, print);
  requireAnswer(answers);
}

/**
 * Requests that a node hand off the role with this name. Throws {@link CommandFailure} with the reason if the node does
 * not hand it off.
 */
export async function resignRole(name: string, node: string, print: Print): Promise<void> {
  const address = validateAddress(node);
  if (parseRoleName(name) === null) throw new UsageError(`${name}: unknown duty; expected lead or share/N`);
  const answer = await requestResignation(address, name);
  if (answer.kind === 'silent') throw new CommandFailure(`${node}: ${answer.reason}`);
  // A node of a later version may answer with a kind that this version does not define.
  const { kind, reason }: { kind: string; reason?: string } = answer.value;
  if (kind !== 'handed_over')
    throw new CommandFailure(`${name} was not handed over: ${reason ?? 'no reason given'}`);
  print(`${name} was handed over`);
}

function printTable(answers: NodeAnswers<RolesAnswer>, print: Print): void {
  const { nodes } = answers;
  const rows = nodes.flatMap((answer) => answer.duties.map((role) => roleRow(answer.member, role)));
  for (const line of formatTable([HEADINGS, ...rows])) print(line);
  for (const { member, knowledgeAgeS, membership } of nodes) {
    const age = knowledgeAgeS === null ? 'never complete' : `${knowledgeAgeS} s old`;
    print(`${member}: ${membership}; what it knows is ${age}`);
  }
  printUnresponsive(answers, print);
}

/** Returns the table cells of one role, in the order of {@link HEADINGS}. */
function roleRow(member: string, role: RoleAnswer): string[] {
  return [
    member,
    role.duty,
    role.state,
    role.holder ?? '-',
    String(role.term ?? '-'),
    `${role.sinceS} s`,
    role.leaseLeftS === null ? '-' : `${role.leaseLeftS} s`,
    formatIntents(role.openIntents),
    formatRefusal(role.lastRefused),
  ];
}

function formatIntents(intents: OpenIntentsAnswer | null): string {
  return intents ? `${intents.rentals.length} rentals, ${intents.returns.length} returns` : '-';
}

function formatRefusal(refusal: RefusedActionAnswer | null): string {
  if (!refusal) return '-';
  return `${refusal.action}: ${refusal.reason} (term ${refusal.term}, ${refusal.ageS} s ago)`;
}
