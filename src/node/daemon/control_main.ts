/** The binary `cyclamenfall-control`. */
import {loadControlSettings} from '../config/settings.js';
import {ControlMember} from '../control/control_member.js';
import {createLogger} from '../logging/logger.js';
import {runDaemon} from './run_daemon.js';

const NAME = 'cyclamenfall-control';

/** Runs one member of the configuration log. */
export function main(argv: readonly string[]): void {
  runDaemon(
    {
      name: NAME,
      description: 'Runs one member of the configuration log.',
      loadSettings: loadControlSettings,
      create: settings =>
        new ControlMember({
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
