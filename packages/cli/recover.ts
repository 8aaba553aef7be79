/** `micaworks recover status`: whether the nodes that answer find that the state service has lost data. */
import { askLoss, type NodeLossReport } from '#operations';
import { checkAddress } from './address.js';
import { failure } from './errors.js';
import { formatTable, type Print, printJson } from './output.js';

export interface RecoverStatusOptions {
  node: string[];
  json: boolean;
}

/** The stable form of `--json`. */
interface RecoverStatusJson {
  nodes: (NodeLossReport & { node: string })[];
  silent: { node: string; reason: string }[];
}

const HEADING = ['NODE', 'STATE', 'SINCE', 'FALSE ALARMS', 'HIGHEST EPOCH', 'HIGHEST TOKEN'];

/** Ends with exit code 1 if a node finds that state was lost, so that a watchdog can call it. */
export async function showRecoverStatus({ node, json }: RecoverStatusOptions, print: Print): Promise<void> {
  const answers = await askLoss(node.map(checkAddress));
  const nodes = answers.flatMap((a) => (a.kind === 'answered' ? [{ node: a.node, ...a.value }] : []));
  const silent = answers.flatMap((a) => (a.kind === 'silent' ? [{ node: a.node, reason: a.reason }] : []));
  if (json) printJson(print, { nodes, silent } satisfies RecoverStatusJson);
  else printStatus({ nodes, silent }, print);
  if (nodes.length === 0) throw failure('no node answered; is operations/listen set in their XML?');
  const alarmed = nodes.filter(({ loss }) => loss !== null && loss.state !== 'serving');
  if (alarmed.length > 0) {
    const names = alarmed.map(({ member }) => member).join(', ');
    throw failure(`the state service has lost state, as ${names} found; see docs/operations/recovery.md`);
  }
}

function printStatus({ nodes, silent }: RecoverStatusJson, print: Print): void {
  for (const line of formatTable([HEADING, ...nodes.map(rowOf)])) print(line);
  for (const { member, loss } of nodes) {
    for (const { text } of loss?.evidence ?? []) print(`${member}: ${text}`);
  }
  for (const { node, reason } of silent) print(`${node}: no answer (${reason})`);
}

function rowOf({ member, loss }: NodeLossReport): string[] {
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
