/** `micaworks recover status`: whether the nodes that answer have detected data loss in the state service. */
import { requestDataLossStatus, type RecoveryAnswer } from '#operations';
import { checkAddress } from './address.js';
import { demandAnswer, type NodeAnswers, type NodesOptions, printSilent, sortAnswers } from './answers.js';
import { CommandFailure } from './errors.js';
import { formatTable, type Print, printJson } from './output.js';

const HEADING = ['NODE', 'STATE', 'SINCE', 'FALSE ALARMS', 'HIGHEST EPOCH', 'HIGHEST TOKEN'];

/** Prints the data-loss state of each node; fails if one has detected data loss, so that a watchdog can call it. */
export async function showRecoverStatus({ node, json }: NodesOptions, print: Print): Promise<void> {
  const answers = sortAnswers(await requestDataLossStatus(node.map(checkAddress)));
  if (json) printJson(print, answers);
  else printStatus(answers, print);
  demandAnswer(answers);
  const alarmed = answers.nodes.filter(({ loss }) => loss !== null && loss.state !== 'serving');
  if (alarmed.length === 0) return;
  const names = alarmed.map(({ member }) => member).join(', ');
  throw new CommandFailure(
    `the state service has lost state, as ${names} found; see docs/operations/recovery.md`,
  );
}

function printStatus(answers: NodeAnswers<RecoveryAnswer>, print: Print): void {
  for (const line of formatTable([HEADING, ...answers.nodes.map(rowOf)])) print(line);
  for (const { member, loss } of answers.nodes) {
    for (const { text } of loss?.evidence ?? []) print(`${member}: ${text}`);
  }
  printSilent(answers, print);
}

/** The cells of one node, under {@link HEADING}. */
function rowOf({ member, loss }: RecoveryAnswer): string[] {
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
