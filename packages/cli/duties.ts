/** `micaworks duties`: who holds what, as the nodes that answer know it. */
import { parseDutyName } from '#duties';
import { askDuties, askToResign, type DutiesAnswer, type DutyAnswer, type NodeAnswer } from '#operations';
import { checkAddress } from './address.js';
import { demandAnswer, type NodeAnswers, type NodesOptions, printSilent, sortAnswers } from './answers.js';
import { failure, usageError } from './errors.js';
import { formatTable, type Print, printJson } from './output.js';

const HEADING = ['NODE', 'DUTY', 'STATE', 'HOLDER', 'TERM', 'SINCE', 'LEASE', 'OPEN', 'LAST REFUSED'];

export async function showDuties({ node, json }: NodesOptions, print: Print): Promise<void> {
  const answers = sortAnswers(await askDuties(node.map(checkAddress)));
  if (json) printJson(print, answers);
  else printTable(answers, print);
  demandAnswer(answers);
}

export async function resignDuty(name: string, node: string, print: Print): Promise<void> {
  const address = checkAddress(node);
  if (parseDutyName(name) === null) throw usageError(`${name}: no such duty; write lead or share/N`);
  const answer: NodeAnswer<unknown> = await askToResign(address, name);
  if (answer.kind === 'silent') throw failure(`${node}: ${answer.reason}`);
  const result = answer.value as { kind: string; reason?: string };
  if (result.kind !== 'handed_over') throw failure(`${name} was not handed over: ${result.reason ?? '?'}`);
  print(`${name} was handed over`);
}

function printTable(answers: NodeAnswers<DutiesAnswer>, print: Print): void {
  const { nodes } = answers;
  const rows = nodes.flatMap((report) => report.duties.map((duty) => rowOf(report.member, duty)));
  for (const line of formatTable([HEADING, ...rows])) print(line);
  for (const { member, knowledgeAgeS, membership } of nodes) {
    const age = knowledgeAgeS === null ? 'never complete' : `${knowledgeAgeS} s old`;
    print(`${member}: ${membership}; what it knows is ${age}`);
  }
  printSilent(answers, print);
}

function rowOf(member: string, duty: DutyAnswer): string[] {
  const { openIntents, lastRefused } = duty;
  const open = openIntents
    ? `${openIntents.rentals.length} rentals, ${openIntents.returns.length} returns`
    : '-';
  const refused = lastRefused
    ? `${lastRefused.action}: ${lastRefused.reason} (term ${lastRefused.term}, ${lastRefused.ageS} s ago)`
    : '-';
  const lease = duty.leaseLeftS === null ? '-' : `${duty.leaseLeftS} s`;
  return [
    ...[member, duty.duty, duty.state, duty.holder ?? '-', String(duty.term ?? '-')],
    ...[`${duty.sinceS} s`, lease, open, refused],
  ];
}
