/** The binary `cyclamenfall-entry`. */
import {loadEntrySettings} from '../config/settings.js';
import {Entry} from '../entry/entry.js';
import {createLogger} from '../logging/logger.js';
import {runDaemon} from './run_daemon.js';

const NAME = 'cyclamenfall-entry';

/** Runs one entry instance. */
export function main(argv: readonly string[]): void {
  runDaemon(
    {
      name: NAME,
      description: 'Serves callers on one entry instance.',
      loadSettings: loadEntrySettings,
      create: settings =>
        new Entry({
          settings,
          logger: createLogger({
            name: NAME,
            instanceId: settings.instanceId,
            level: settings.logLevel,
          }),
        }),
    },
    argv,
  );
}
