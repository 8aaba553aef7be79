/** Defines the subcommands and options of the command line, and maps errors to exit codes. */
import { readFileSync } from 'node:fs';
import { Command, CommanderError } from 'commander';
import { loadSettings, loadTuning, SettingsError, defaultTuning } from '#settings';
import type { NodesOptions } from './answers.js';
import { resignRole, showRoles } from './duties.js';
import { CommandError, FAILURE_EXIT, messageOf, USAGE_EXIT } from './errors.js';
import { showJob, submitJob, withdrawJob } from './jobs.js';
import type { Print } from './output.js';
import { showRecoverStatus } from './recover.js';
import { showSnapshot, type SnapshotOptions, takeSnapshot, verifySnapshot } from './snapshot.js';
import { checkSettings, type SettingsFiles } from './settings.js';

const PACKAGE_JSON = new URL('../../package.json', import.meta.url);
const DEFAULT_OPERATOR_NODE = '127.0.0.1:7070';
const DEFAULT_USER_NODE = '127.0.0.1:8080';

const NODE_OPTION = '--node <address>';
const NODES_OPTION = '--node <address...>';
const NODES_HELP = "operators' listener of one or more nodes";
const JSON_OPTION = '--json';
const JSON_HELP = 'print JSON';
const CONFIG_OPTION = '--config <file>';
const CONFIG_HELP = "the platform's settings (TOML)";
const OPERATOR_OPTION = '--operator <file>';
const OPERATOR_HELP = "operators' settings (XML)";

/** Options of the commands that send a request to one node. */
interface NodeOption {
  readonly node: string;
}

/** Paths of the settings files, as given to `micaworks run`. */
interface RunOptions {
  readonly config: string;
  readonly operator?: string;
}

/** Returns a parser that runs the command given in its arguments and passes each line of the result to `print`. */
export function createProgram(print: Print): Command {
  const program = new Command('micaworks')
    .description('A cluster scheduler, and the tools to operate it')
    .version(packageVersion())
    .exitOverride()
    .enablePositionalOptions()
    .configureOutput({
      outputError: () => undefined,
      writeOut: (text) => {
        print(text.trimEnd());
      },
      writeErr: () => undefined,
    })
    .showSuggestionAfterError();
  addNodeCommands(program, print);
  addJobCommands(program, print);
  addRoleCommands(program, print);
  addRecoverCommands(program, print);
  addSnapshotCommands(program, print);
  return program;
}

/** Runs one command and returns its exit code. An error is passed to `printError` as one line. */
export async function execute(args: readonly string[], print: Print, printError: Print): Promise<number> {
  try {
    await createProgram(print).parseAsync([...args], { from: 'user' });
    return 0;
  } catch (cause) {
    if (cause instanceof CommanderError) return handleParserExit(cause, printError);
    printError(`micaworks: ${messageOf(cause)}`);
    if (cause instanceof CommandError) return cause.exitCode;
    return cause instanceof SettingsError ? USAGE_EXIT : FAILURE_EXIT;
  }
}

/**
 * Returns the exit code for a parser exit: 0 after `--help` and `--version`, {@link USAGE_EXIT} after a usage error.
 */
function handleParserExit({ exitCode, code, message }: CommanderError, printError: Print): number {
  if (exitCode === 0) return 0;
  const text = code === 'commander.help' ? 'no command given' : message.replace(/^error: /, '');
  printError(`micaworks: ${text.split('\n').join(' ')}; see micaworks --help`);
  return USAGE_EXIT;
}

function packageVersion(): string {
  return String((JSON.parse(readFileSync(PACKAGE_JSON, 'utf8')) as { version: unknown }).version);
}

/** Starts a node in this process, as the command in `deploy/service.toml` does. */
async function runDaemon({ config, operator }: RunOptions): Promise<void> {
  // Loaded on demand: the other commands start faster without the daemon's modules.
  const { runNode } = await import('#daemon/run-node');
  const tuning = operator === undefined ? defaultTuning() : await loadTuning(operator);
  await runNode(loadSettings(config), tuning);
}

function addNodeCommands(program: Command, print: Print): void {
  program
    .command('run')
    .description('run a node of the service until it is killed')
    .requiredOption(CONFIG_OPTION, CONFIG_HELP)
    .option(OPERATOR_OPTION, OPERATOR_HELP)
    .action(runDaemon);
  program
    .command('check')
    .description('check settings files without starting anything')
    .option(CONFIG_OPTION, CONFIG_HELP)
    .option(OPERATOR_OPTION, OPERATOR_HELP)
    .action((files: SettingsFiles) => checkSettings(files, print));
}

function addJobCommands(program: Command, print: Print): void {
  const nodeHelp = 'address at which a node serves users';
  program
    .command('submit <file>')
    .description('submit the job that a JSON file describes; - reads standard input')
    .option(NODE_OPTION, nodeHelp, DEFAULT_USER_NODE)
    .action((file: string, { node }: NodeOption) => submitJob(file, node, print));
  program
    .command('show <job>')
    .description("tell a job's state")
    .option(NODE_OPTION, nodeHelp, DEFAULT_USER_NODE)
    .action((job: string, { node }: NodeOption) => showJob(job, node, print));
  program
    .command('withdraw <job>')
    .description('cancel a job')
    .option(NODE_OPTION, nodeHelp, DEFAULT_USER_NODE)
    .action((job: string, { node }: NodeOption) => withdrawJob(job, node, print));
}

function addRoleCommands(program: Command, print: Print): void {
  const roles = program
    .command('duties')
    .enablePositionalOptions()
    .description('show who holds each duty that one controller may hold at a time')
    .option(NODES_OPTION, NODES_HELP, [DEFAULT_OPERATOR_NODE])
    .option(JSON_OPTION, JSON_HELP, false)
    .action((options: NodesOptions) => showRoles(options, print));
  roles
    .command('resign <duty>')
    .description('have the node that holds a duty (lead or share/N) hand it over')
    .requiredOption(NODE_OPTION, "operators' listener of the node that holds it")
    .action((role: string, { node }: NodeOption) => resignRole(role, node, print));
}

function addRecoverCommands(program: Command, print: Print): void {
  const recover = program.command('recover').description('watch for, and recover from, lost state');
  recover
    .command('status')
    .description('tell whether the state service has lost data; exit code 1 if it has')
    .option(NODES_OPTION, NODES_HELP, [DEFAULT_OPERATOR_NODE])
    .option(JSON_OPTION, JSON_HELP, false)
    .action((options: NodesOptions) => showRecoverStatus(options, print));
}

function addSnapshotCommands(program: Command, print: Print): void {
  const snapshot = program
    .command('snapshot <file>')
    .enablePositionalOptions()
    .description("write the state as a node's copy holds it to a file")
    .option(NODE_OPTION, "operators' listener of the node", DEFAULT_OPERATOR_NODE)
    .option('--force', 'replace the file', false)
    .action((file: string, options: SnapshotOptions) => takeSnapshot(file, options, print));
  snapshot
    .command('verify <file>')
    .description('tell whether a snapshot is whole; exit code 1 if not')
    .action((file: string) => verifySnapshot(file, print));
  snapshot
    .command('show <file>')
    .description('tell what a snapshot holds')
    .option(JSON_OPTION, JSON_HELP, false)
    .action((file: string, options: { json: boolean }) => showSnapshot(file, options, print));
}
