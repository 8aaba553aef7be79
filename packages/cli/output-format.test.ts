/** Golden tests of the help texts, of `micaworks check` and of usage errors, with the exit codes. */
import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { encodeSubmission } from '#wire';
import { sampleJob } from '#testkit';
import { CLOSED_ADDRESS, createTestFolder, run } from './command-test-support.js';

const SETTINGS = `
member = "hive-0"
domain = "almaty"
bind = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
[[peers]]
member = "hive-1"
domain = "astana"
endpoint = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
initial_size = 3
zones = ["almaty", "astana"]
teams = []
[facts.workers]
report_s = 3.0
lease_s = 22.0
cancel_s = 47.0
[facts.state]
rps = 80.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8
[facts.cloud]
rps = 10.0
list_lag_s = 6.0
[facts.machine_limits]
cpu = 0.255
mem_mb = 306.0
sockets = 2500
`;

test('--help prints the documented commands and options', async () => {
  assert.deepEqual(await run(['--help']), [
    'exit 0',
    'Usage: micaworks [options] [command]',
    '',
    'A cluster scheduler, and the tools to operate it',
    '',
    'Options:',
    '  -V, --version              output the version number',
    '  -h, --help                 display help for command',
    '',
    'Commands:',
    '  run [options]              run a node of the service until it is killed',
    '  check [options]            check settings files without starting anything',
    '  submit [options] <file>    submit the job that a JSON file describes; - reads',
    '                             standard input',
    "  show [options] <job>       tell a job's state",
    '  withdraw [options] <job>   cancel a job',
    '  duties [options]           show who holds each duty that one controller may',
    '                             hold at a time',
    '  recover                    watch for, and recover from, lost state',
    "  snapshot [options] <file>  write the state as a node's copy holds it to a file",
    '  help [command]             display help for command',
  ]);
  assert.deepEqual(await run(['run', '--help']), [
    'exit 0',
    'Usage: micaworks run [options]',
    '',
    'run a node of the service until it is killed',
    '',
    'Options:',
    "  --config <file>    the platform's settings (TOML)",
    "  --operator <file>  operators' settings (XML)",
    '  -h, --help         display help for command',
  ]);
  assert.deepEqual(await run(['check', '--help']), [
    'exit 0',
    'Usage: micaworks check [options]',
    '',
    'check settings files without starting anything',
    '',
    'Options:',
    "  --config <file>    the platform's settings (TOML)",
    "  --operator <file>  operators' settings (XML)",
    '  -h, --help         display help for command',
  ]);
  assert.deepEqual(await run(['submit', '--help']), [
    'exit 0',
    'Usage: micaworks submit [options] <file>',
    '',
    'submit the job that a JSON file describes; - reads standard input',
    '',
    'Options:',
    '  --node <address>  address at which a node serves users (default:',
    '                    "127.0.0.1:8080")',
    '  -h, --help        display help for command',
  ]);
  assert.deepEqual(await run(['show', '--help']), [
    'exit 0',
    'Usage: micaworks show [options] <job>',
    '',
    "tell a job's state",
    '',
    'Options:',
    '  --node <address>  address at which a node serves users (default:',
    '                    "127.0.0.1:8080")',
    '  -h, --help        display help for command',
  ]);
  assert.deepEqual(await run(['withdraw', '--help']), [
    'exit 0',
    'Usage: micaworks withdraw [options] <job>',
    '',
    'cancel a job',
    '',
    'Options:',
    '  --node <address>  address at which a node serves users (default:',
    '                    "127.0.0.1:8080")',
    '  -h, --help        display help for command',
  ]);
  assert.deepEqual(await run(['duties', '--help']), [
    'exit 0',
    'Usage: micaworks duties [options] [command]',
    '',
    'show who holds each duty that one controller may hold at a time',
    '',
    'Options:',
    "  --node <address...>      operators' listener of one or more nodes (default:",
    '                           ["127.0.0.1:7070"])',
    '  --json                   print JSON (default: false)',
    '  -h, --help               display help for command',
    '',
    'Commands:',
    '  resign [options] <duty>  have the node that holds a duty (lead or share/N)',
    '                           hand it over',
  ]);
  assert.deepEqual(await run(['duties', 'resign', '--help']), [
    'exit 0',
    'Usage: micaworks duties resign [options] <duty>',
    '',
    'have the node that holds a duty (lead or share/N) hand it over',
    '',
    'Options:',
    "  --node <address>  operators' listener of the node that holds it",
    '  -h, --help        display help for command',
  ]);
  assert.deepEqual(await run(['recover', '--help']), [
    'exit 0',
    'Usage: micaworks recover [options] [command]',
    '',
    'watch for, and recover from, lost state',
    '',
    'Options:',
    '  -h, --help        display help for command',
    '',
    'Commands:',
    '  status [options]  tell whether the state service has lost data; exit code 1 if',
    '                    it has',
    '  help [command]    display help for command',
  ]);
  assert.deepEqual(await run(['recover', 'status', '--help']), [
    'exit 0',
    'Usage: micaworks recover status [options]',
    '',
    'tell whether the state service has lost data; exit code 1 if it has',
    '',
    'Options:',
    "  --node <address...>  operators' listener of one or more nodes (default:",
    '                       ["127.0.0.1:7070"])',
    '  --json               print JSON (default: false)',
    '  -h, --help           display help for command',
  ]);
  assert.deepEqual(await run(['snapshot', '--help']), [
    'exit 0',
    'Usage: micaworks snapshot [options] [command] <file>',
    '',
    "write the state as a node's copy holds it to a file",
    '',
    'Options:',
    "  --node <address>       operators' listener of the node (default:",
    '                         "127.0.0.1:7070")',
    '  --force                replace the file (default: false)',
    '  -h, --help             display help for command',
    '',
    'Commands:',
    '  verify <file>          tell whether a snapshot is whole; exit code 1 if not',
    '  show [options] <file>  tell what a snapshot holds',
  ]);
  assert.deepEqual(await run(['snapshot', 'verify', '--help']), [
    'exit 0',
    'Usage: micaworks snapshot verify [options] <file>',
    '',
    'tell whether a snapshot is whole; exit code 1 if not',
    '',
    'Options:',
    '  -h, --help  display help for command',
  ]);
  assert.deepEqual(await run(['snapshot', 'show', '--help']), [
    'exit 0',
    'Usage: micaworks snapshot show [options] <file>',
    '',
    'tell what a snapshot holds',
    '',
    'Options:',
    '  --json      print JSON (default: false)',
    '  -h, --help  display help for command',
  ]);
});

test('--version prints the version of the package', async () => {
  assert.deepEqual(await run(['--version']), ['exit 0', '0.1.0']);
});

test('check prints a line for each valid file and fails at the first invalid one', async (t) => {
  const folder = createTestFolder(t);
  const placeholders = { [folder]: 'FOLDER' };
  const write = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const config = write('settings.toml', SETTINGS);
  const off = write('off.xml', '<micaworks></micaworks>');
  const on = write(
    'on.xml',
    '<micaworks><operations><listen>127.0.0.1:7070</listen></operations></micaworks>',
  );
  assert.deepEqual(await run(['check', '--config', config, '--operator', off], placeholders), [
    'exit 0',
    'FOLDER/settings.toml: usable; node hive-0 with 1 peers',
    "FOLDER/off.xml: usable; operators' listener off",
  ]);
  assert.deepEqual(await run(['check', '--operator', on], placeholders), [
    'exit 0',
    "FOLDER/on.xml: usable; operators' listener 127.0.0.1:7070",
  ]);
  const wrong = write('wrong.toml', 'member = 1');
  assert.deepEqual(await run(['check', '--config', wrong], placeholders), [
    'exit 2',
    '! micaworks: member: Invalid input',
  ]);
  const wrongXml = write('wrong.xml', '<micaworks><round><gapMs>5</gapMs></round></micaworks>');
  assert.deepEqual(await run(['check', '--config', config, '--operator', wrongXml], placeholders), [
    'exit 2',
    'FOLDER/settings.toml: usable; node hive-0 with 1 peers',
    "! micaworks: operators' file: round/gapMs: must be a number from 20 to 5000",
  ]);
  assert.deepEqual(await run(['run', '--config', wrong], placeholders), [
    'exit 2',
    '! micaworks: member: Invalid input',
  ]);
  assert.deepEqual(await run(['run', '--config', config, '--operator', wrongXml], placeholders), [
    'exit 2',
    "! micaworks: operators' file: round/gapMs: must be a number from 20 to 5000",
  ]);
  const missing = join(folder, 'missing');
  assert.deepEqual(await run(['check', '--config', missing], placeholders), [
    'exit 2',
    "! micaworks: FOLDER/missing: ENOENT: no such file or directory, open 'FOLDER/missing'",
  ]);
  assert.deepEqual(await run(['check', '--operator', missing], placeholders), [
    'exit 2',
    "! micaworks: FOLDER/missing: ENOENT: no such file or directory, open 'FOLDER/missing'",
  ]);
});

test('a usage error returns exit code 2 and prints one line that names the error', async (t) => {
  const folder = createTestFolder(t);
  const placeholders = { [folder]: 'FOLDER' };
  const write = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const job = encodeSubmission(sampleJob('j-1'));
  const cases: string[][] = [
    [],
    ['frobnicate'],
    ['dutie'],
    ['--frob'],
    ['run'],
    ['run', '--config', join(folder, 'missing.toml')],
    ['check'],
    ['check', 'more'],
    ['submit'],
    ['submit', join(folder, 'missing.json')],
    ['submit', write('cut.json', '{"Uid":')],
    ['submit', write('array.json', '[]')],
    ['submit', write('no-team.json', JSON.stringify({ ...job, Crew: null }))],
    ['submit', write('job.json', JSON.stringify(job)), '--node', '127.0.0.1'],
    ['show'],
    ['show', 'j-'],
    ['show', 'j-7', '--node', 'nowhere'],
    ['withdraw', 'everything'],
    ['withdraw', 'j-7', '--node', '127.0.0.1:0'],
    ['duties', '--frob'],
    ['duties', '--jsn'],
    ['duties', '--node'],
    ['duties', '--node', 'nowhere'],
    ['duties', '--node', '127.0.0.1:70700'],
    ['duties', 'resign'],
    ['duties', 'resign', 'lead'],
    ['duties', 'resign', 'share/x', '--node', CLOSED_ADDRESS],
    ['recover'],
    ['recover', 'frobnicate'],
    ['recover', 'status', '--node', 'nowhere'],
    ['snapshot'],
    ['snapshot', join(folder, 'new'), '--node', 'nowhere'],
    ['snapshot', 'verify'],
    ['snapshot', 'show'],
  ];
  const lines: string[] = [];
  for (const args of cases) {
    const [code, ...printed] = await run(args, placeholders);
    assert.equal(code, 'exit 2', args.join(' '));
    assert.equal(printed.length, 1, args.join(' '));
    lines.push(printed[0] ?? '');
  }
  assert.deepEqual(lines, [
    '! micaworks: no command given; see micaworks --help',
    "! micaworks: unknown command 'frobnicate'; see micaworks --help",
    "! micaworks: unknown command 'dutie' (Did you mean duties?); see micaworks --help",
    "! micaworks: unknown option '--frob'; see micaworks --help",
    "! micaworks: required option '--config <file>' not specified; see micaworks --help",
    "! micaworks: FOLDER/missing.toml: ENOENT: no such file or directory, open 'FOLDER/missing.toml'",
    '! micaworks: no file to check; pass --config FILE, --operator FILE, or both',
    "! micaworks: too many arguments for 'check'. Expected 0 arguments but got 1.; see micaworks --help",
    "! micaworks: missing required argument 'file'; see micaworks --help",
    "! micaworks: FOLDER/missing.json: ENOENT: no such file or directory, open 'FOLDER/missing.json'",
    '! micaworks: FOLDER/cut.json: not JSON',
    '! micaworks: FOLDER/array.json: body is missing or invalid',
    '! micaworks: FOLDER/no-team.json: Crew is missing or invalid',
    '! micaworks: 127.0.0.1: invalid address; expected HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: missing required argument 'job'; see micaworks --help",
    '! micaworks: j-: invalid job id; expected an id such as j-000412',
    '! micaworks: nowhere: invalid address; expected HOST:PORT, such as 127.0.0.1:7070',
    '! micaworks: everything: invalid job id; expected an id such as j-000412',
    '! micaworks: 127.0.0.1:0: invalid address; expected HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: unknown option '--frob'; see micaworks --help",
    "! micaworks: unknown option '--jsn' (Did you mean --json?); see micaworks --help",
    "! micaworks: option '--node <address...>' argument missing; see micaworks --help",
    '! micaworks: nowhere: invalid address; expected HOST:PORT, such as 127.0.0.1:7070',
    '! micaworks: 127.0.0.1:70700: invalid address; expected HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: required option '--node <address>' not specified; see micaworks --help",
    "! micaworks: required option '--node <address>' not specified; see micaworks --help",
    '! micaworks: share/x: unknown duty; expected lead or share/N',
    '! micaworks: no command given; see micaworks --help',
    "! micaworks: unknown command 'frobnicate'; see micaworks --help",
    '! micaworks: nowhere: invalid address; expected HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: missing required argument 'file'; see micaworks --help",
    '! micaworks: nowhere: invalid address; expected HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: missing required argument 'file'; see micaworks --help",
    "! micaworks: missing required argument 'file'; see micaworks --help",
  ]);
});
