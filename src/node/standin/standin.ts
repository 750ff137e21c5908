/** The stand-in upstreams and feeds of one process. */
import {EngineServer} from './engine_server.js';
import {PlatformServer} from './platform_server.js';
import {ServiceServer} from './service_server.js';
import type {StandinSettings} from './standin_settings.js';

/** Runs the stand-ins of one settings file. */
export class Standin {
  readonly engines: ReadonlyMap<string, EngineServer>;
  readonly services: ReadonlyMap<string, ServiceServer>;
  readonly platform: PlatformServer | undefined;

  constructor(private readonly settings: StandinSettings) {
    this.engines = new Map(
      settings.engines.map(engine => [
        engine.upstreamId,
        new EngineServer(engine),
      ]),
    );
    this.services = new Map(
      settings.services.map(service => [
        service.upstreamId,
        new ServiceServer(service),
      ]),
    );
    this.platform =
      settings.platform === undefined
        ? undefined
        : new PlatformServer(settings.platform);
  }

  async start(): Promise<void> {
    const {engines, services, platform} = this.settings;
    await Promise.all([
      ...engines.map(each =>
        this.engines.get(each.upstreamId)?.start(each.address),
      ),
      ...services.map(each =>
        this.services.get(each.upstreamId)?.start(each.address),
      ),
      platform === undefined
        ? undefined
        : this.platform?.start(platform.address),
    ]);
  }

  async stop(): Promise<void> {
    await Promise.all([
      ...[...this.engines.values()].map(engine => engine.stop()),
      ...[...this.services.values()].map(service => service.stop()),
      this.platform?.stop(),
    ]);
  }
}
