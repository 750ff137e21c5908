/**
 * The owner of the configuration in force on an entry instance. Versions only
 * grow, and a version is stored before the instance serves by it.
 */
import {dispatch, spawn, type ActorSystemRef, type Ref} from 'nact';
import type {VersionedConfiguration} from '../config/configuration.js';
import {asNumber, type ConfigVersion} from '../types/ids.js';
import type {ConfigurationStore} from './configuration_store.js';

interface ApplyMessage {
  readonly versioned: VersionedConfiguration;
  readonly done: (isInForce: boolean) => void;
  readonly failed: (thrown: unknown) => void;
}

/** Called with each version that comes into force. */
export type ConfigurationListener = (versioned: VersionedConfiguration) => void;

const NO_VERSION = asNumber<ConfigVersion>(0);

/** Holds the configuration in force and the greatest version seen. */
export class ConfigurationHolder {
  private inForce: VersionedConfiguration | undefined;
  private greatest: VersionedConfiguration | undefined;
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly actor: Ref<ApplyMessage>;

  constructor(
    system: ActorSystemRef,
    private readonly store: ConfigurationStore,
    private readonly onStoreFailure: (thrown: unknown) => void = () =>
      undefined,
  ) {
    // The actor's mailbox makes stores happen one after the other. A store
    // that fails is reported to its caller; the next message may succeed.
    this.actor = spawn(
      system,
      async (state: undefined, message: ApplyMessage) => {
        await this.handle(message);
        return state;
      },
      'configuration-holder',
      {onCrash: (_message, _error, context) => context.resume},
    );
  }

  /** The configuration that this instance serves by. */
  current(): VersionedConfiguration | undefined {
    return this.inForce;
  }

  /** The version in force; 0 before the first. */
  version(): ConfigVersion {
    return this.inForce?.version ?? NO_VERSION;
  }

  /**
   * The greatest version that this instance knows, in force or about to be.
   * This is what it gives to peers.
   */
  latest(): VersionedConfiguration | undefined {
    return this.greatest;
  }

  /** Loads what an earlier process of this instance stored. */
  async load(): Promise<void> {
    const stored = await this.store.load();
    if (stored !== undefined && stored.version > this.version()) {
      this.keep(stored);
      this.putInForce(stored);
    }
  }

  /**
   * Stores a greater version and puts it into force. Resolves with whether it
   * came into force; rejects if it could not be stored.
   */
  apply(versioned: VersionedConfiguration): Promise<boolean> {
    if (versioned.version <= this.version()) return Promise.resolve(false);
    this.keep(versioned);
    return new Promise((done, failed) =>
      dispatch(this.actor, {versioned, done, failed}),
    );
  }

  /** Calls `listener` with each version that comes into force from now on. */
  subscribe(listener: ConfigurationListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private async handle(message: ApplyMessage): Promise<void> {
    const {versioned, done, failed} = message;
    try {
      if (versioned.version <= this.version()) return done(false);
      await this.store.store(versioned);
      this.putInForce(versioned);
      done(true);
    } catch (thrown) {
      this.onStoreFailure(thrown);
      failed(thrown);
    }
  }

  private keep(versioned: VersionedConfiguration): void {
    if (versioned.version > (this.greatest?.version ?? 0)) {
      this.greatest = versioned;
    }
  }

  private putInForce(versioned: VersionedConfiguration): void {
    this.inForce = versioned;
    [...this.listeners].forEach(listener => listener(versioned));
  }
}
