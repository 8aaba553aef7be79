/**
 * Implements `micaworks recover status`, which shows whether the nodes have detected data loss in the state service.
 */
import { requestDataLossStatus, type RecoveryAnswer } from '#operations';
import { validateAddress } from './address.js';
import {
  requireAnswer,
  type NodeAnswers,
  type NodesOptions,
  printUnresponsive,
  splitAnswers,
} from './answers.js';
import { CommandFailure } from './errors.js';
import { formatTable, type Print, printJson } from './output.js';

const HEADINGS = ['NODE', 'STATE', 'SINCE', 'FALSE ALARMS', 'HIGHEST EPOCH', 'HIGHEST TOKEN'];

/**
 * Prints the data-loss state of each node. Throws {@link CommandFailure} if a node has detected data loss, so that a
 * monitoring script can use the exit code.
 */
export async function showRecoverStatus({ node, json }: NodesOptions, print: Print): Promise<void> {
  const answers = splitAnswers(await requestDataLossStatus(node.map(validateAddress)));
  if (json) printJson(print, answers);
  else printStatus(answers, print);
  requireAnswer(answers);
  const affectedNodes = answers.nodes.filter(({ loss }) => loss !== null && loss.state !== 'serving');
  if (affectedNodes.length === 0) return;
  const affectedMembers = affectedNodes.map(({ member }) => member).join(', ');
  throw new CommandFailure(
    `the state service has lost data, detected by ${affectedMembers}; see docs/operations/recovery.md`,
  );
}

function printStatus(answers: NodeAnswers<RecoveryAnswer>, print: Print): void {
  for (const line of formatTable([HEADINGS, ...answers.nodes.map(nodeRow)])) print(line);
  for (const { member, loss } of answers.nodes) {
    for (const { text } of loss?.evidence ?? []) print(`${member}: ${text}`);
  }
  printUnresponsive(answers, print);
}

/** Returns the table cells of one node, in the order of {@link HEADINGS}. */
function nodeRow({ member, loss }: RecoveryAnswer): string[] {
  if (loss === null) return [member, 'not watched', '-', '-', '-', '-'];
  const { state, sinceS, falseAlarms, seen } = loss;
  return [
    member,
    state,
    `${sinceS} s`,
    String(falseAlarms),
    String(seen.epoch ?? 0),
    String(seen.token ?? 0),
  ];
}
