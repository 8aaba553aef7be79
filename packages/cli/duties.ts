/** `micaworks duties`: which node holds which role, as the nodes that answer know it. Operators call a role a duty. */
import { parseRoleName } from '#roles';
import {
  requestRoleStatus,
  requestResignation,
  type RolesAnswer,
  type RoleAnswer,
  type OpenIntentsAnswer,
  type RefusedActionAnswer,
} from '#operations';
import { checkAddress } from './address.js';
import { demandAnswer, type NodeAnswers, type NodesOptions, printSilent, sortAnswers } from './answers.js';
import { CommandFailure, UsageError } from './errors.js';
import { formatTable, type Print, printJson } from './output.js';

const HEADING = ['NODE', 'DUTY', 'STATE', 'HOLDER', 'TERM', 'SINCE', 'LEASE', 'OPEN', 'LAST REFUSED'];

/** Prints the roles as each node knows them; fails if no node answers. */
export async function showRoles({ node, json }: NodesOptions, print: Print): Promise<void> {
  const answers = sortAnswers(await requestRoleStatus(node.map(checkAddress)));
  if (json) printJson(print, answers);
  else printTable(answers, print);
  demandAnswer(answers);
}

/** Asks a node to hand over the role of this name; fails with the reason if it does not. */
export async function resignRole(name: string, node: string, print: Print): Promise<void> {
  const address = checkAddress(node);
  if (parseRoleName(name) === null) throw new UsageError(`${name}: no such duty; write lead or share/N`);
  const answer = await requestResignation(address, name);
  if (answer.kind === 'silent') throw new CommandFailure(`${node}: ${answer.reason}`);
  // A node of a later version may answer more than this one knows.
  const { kind, reason }: { kind: string; reason?: string } = answer.value;
  if (kind !== 'handed_over') throw new CommandFailure(`${name} was not handed over: ${reason ?? '?'}`);
  print(`${name} was handed over`);
}

function printTable(answers: NodeAnswers<RolesAnswer>, print: Print): void {
  const { nodes } = answers;
  const rows = nodes.flatMap((answer) => answer.duties.map((role) => rowOf(answer.member, role)));
  for (const line of formatTable([HEADING, ...rows])) print(line);
  for (const { member, knowledgeAgeS, membership } of nodes) {
    const age = knowledgeAgeS === null ? 'never complete' : `${knowledgeAgeS} s old`;
    print(`${member}: ${membership}; what it knows is ${age}`);
  }
  printSilent(answers, print);
}

/** The cells of one role, under {@link HEADING}. */
function rowOf(member: string, role: RoleAnswer): string[] {
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
