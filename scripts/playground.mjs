// Starts a playground deployment as separate processes, one per settings file,
// and stops them on Ctrl-C: node scripts/playground.mjs trazo
import {spawn} from 'node:child_process';
import {mkdirSync, openSync, readdirSync} from 'node:fs';
import process from 'node:process';

const deployment = process.argv[2] ?? 'trazo';
const folder = `playground/${deployment}`;
const logFolder = `${folder}/data/logs`;
mkdirSync(logFolder, {recursive: true});

const children = readdirSync(`${folder}/settings`)
  .filter(name => name !== 'operator.yaml')
  .map(name => {
    const kind = name.replace(/[-.].*$/, '');
    const log = openSync(`${logFolder}/${name}.log`, 'a');
    const child = spawn(
      process.execPath,
      [`bin/cyclamenfall-${kind}.js`, `${folder}/settings/${name}`],
      {stdio: ['ignore', log, log]},
    );
    child.on('exit', code => console.log(`${name} ended with ${code}`));
    return child;
  });
console.log(`${children.length} processes started, logs in ${logFolder}`);

const stop = () => children.forEach(child => child.kill('SIGTERM'));
process.on('SIGINT', stop);
process.on('SIGTERM', stop);
