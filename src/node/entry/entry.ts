/** A running entry: the core behind a listener for callers and an inner one. */
import {wallNowMs} from '../clock/clock.js';
import type {EntrySettings} from '../config/settings.js';
import type {Logger} from '../logging/logger.js';
import {registerProcessGauges} from '../metrics/process_gauges.js';
import type {ReplicaStatus} from '../replication/replicated_log.js';
import {InnerServer} from '../rpc/http_server.js';
import {CallerServer, type CallerLimits} from './caller_server.js';
import {createEntryAdapters, type EntryAdapters} from './entry_adapters.js';
import {EntryCore} from './entry_core.js';
import {FORWARD_PATH} from './forwarding.js';

/** Options of an `Entry`. */
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
  /** Adapters that replace those built from the settings. */
  readonly adapters?: Partial<EntryAdapters>;
  /** Limits of the callers' listener. */
  readonly callerLimits?: Partial<CallerLimits>;
  /** Called after a planned stop that an operator requested. */
  readonly onDrained?: () => void;
}

/** One entry instance. */
export class Entry {
  private readonly core: EntryCore;
  private readonly callerServer: CallerServer;
  private readonly innerServer: InnerServer;
  private stopping: Promise<void> | undefined;
  private boundAddresses = {caller: '', inner: ''};

  constructor(private readonly options: EntryOptions) {
    const {settings, logger} = options;
    const {listen, clusterSecret} = settings;
    this.core = new EntryCore({
      settings,
      logger,
      adapters: {...createEntryAdapters(settings), ...options.adapters},
      onDrain: () => void this.stop().then(options.onDrained),
    });
    const {gateway, metrics, inFlight, router} = this.core;
    registerProcessGauges(metrics);
    this.callerServer = new CallerServer({
      address: listen.callerAddress,
      handler: gateway,
      metrics,
      inFlight,
      limits: options.callerLimits ?? {},
    });
    this.innerServer = new InnerServer({
      address: listen.innerAddress,
      clusterSecret,
      router,
      handlers: new Map([
        [
          FORWARD_PATH,
          (body, _request, response, context) =>
            gateway.runForwarded(body, response, context),
        ],
      ]),
    });
  }

  /** Starts the listeners and obtains a configuration. */
  async start(): Promise<void> {
    const {logger} = this.options;
    const startedAtMs = wallNowMs();
    const inner = await this.innerServer.start();
    await this.core.start();
    const caller = await this.callerServer.start();
    this.boundAddresses = {caller, inner};
    logger.info(
      {
        caller,
        version: this.core.version(),
        startMs: wallNowMs() - startedAtMs,
      },
      'entry started',
    );
  }

  /** The addresses that the listeners are bound to; empty before the start. */
  addresses(): {readonly caller: string; readonly inner: string} {
    return this.boundAddresses;
  }

  /** Version of the active configuration; 0 until one is loaded. */
  version(): number {
    return this.core.version();
  }

  /**
   * Whether the entry is ready and, if the instance has a vote, its record log
   * has a leader.
   */
  isServing(): boolean {
    return this.core.isServing();
  }

  /** Status of this instance's member of the record log, if it has one. */
  recordStatus(): ReplicaStatus | undefined {
    return this.core.recordStatus();
  }

  /**
   * A planned stop: leaves the membership and the directory, keeps serving for
   * the grace period, drains the requests in flight, then closes listeners,
   * adapters and files.
   */
  async stop(): Promise<void> {
    this.stopping ??= this.leaveAndStop();
    await this.stopping;
  }

  private async leaveAndStop(): Promise<void> {
    const {logger, settings} = this.options;
    logger.info('planned stop started');
    await this.core.leave();
    await new Promise(resolve => setTimeout(resolve, settings.stopGraceMs));
    const isDrained = await this.core.drain();
    logger.info({isDrained}, 'drain of requests in flight ended');
    await this.callerServer.stop();
    await this.core.stop();
    await this.innerServer.stop();
    logger.info('entry stopped');
  }
}
