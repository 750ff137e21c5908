/** The binary `cyclamenfall-standin`. */
import {Standin} from '../standin/standin.js';
import {loadStandinSettings} from '../standin/standin_settings.js';
import {runDaemon} from './run_daemon.js';

/** Runs stand-in upstreams, services and platform feeds. */
export function main(argv: readonly string[]): void {
  runDaemon(
    {
      name: 'cyclamenfall-standin',
      description: 'Runs stand-in upstreams for tests and the playground.',
      loadSettings: loadStandinSettings,
      create: settings => new Standin(settings),
    },
    argv,
  );
}
