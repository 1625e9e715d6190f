/** The connections to all backends: which are open, and which of them are idle. */
import type { BackendConnection } from "./backend-connection.js";

/** Owns the connections from when they are open until they are closed. */
export class ConnectionPool {
  private readonly open = new Set<BackendConnection>();
  /** Idle connections by pool, the last used last. */
  private readonly idle = new Map<string, BackendConnection[]>();
  /** The pools whose idle connections stay open; undefined for all. */
  private retained: ReadonlySet<string> | undefined;

  /** Takes over an open connection, which is in use. */
  add(connection: BackendConnection): void {
    this.open.add(connection);
    connection.client.on("disconnect", () => this.close(connection));
    connection.socket.once("close", () => this.close(connection));
  }

  /** Whether a connection is open. */
  has(connection: BackendConnection): boolean {
    return this.open.has(connection);
  }

  /** Takes an idle connection into use. A request that must run at most once gets none on which a response named no request. */
  takeIdle(pool: string, isOnce: boolean): BackendConnection | undefined {
    const idle = this.idle.get(pool) ?? [];
    const index = idle.findLastIndex(
      ({ hasUnidentifiedResponse: hasUnnamedResponse }) => !isOnce || !hasUnnamedResponse,
    );
    return index < 0 ? undefined : idle.splice(index, 1)[0];
  }

  /** Returns a connection that is no longer in use. */
  release(connection: BackendConnection): void {
    if (!this.open.has(connection)) return;
    if (this.retained && !this.retained.has(connection.pool)) {
      this.close(connection);
      return;
    }
    const idle = this.idle.get(connection.pool);
    if (idle) idle.push(connection);
    else this.idle.set(connection.pool, [connection]);
  }

  /** Closes a connection. */
  close(connection: BackendConnection): void {
    if (!this.open.delete(connection)) return;
    const idle = this.idle.get(connection.pool);
    const index = idle?.indexOf(connection) ?? -1;
    if (index >= 0) idle?.splice(index, 1);
    void connection.client.destroy().catch(() => undefined);
  }

  /** Closes a connection by a TCP reset, so that the backend notices at once. */
  reset(connection: BackendConnection): void {
    connection.socket.resetAndDestroy();
    this.close(connection);
  }

  /** Closes the idle connections of all other pools, now and whenever they become idle. */
  retain(pools: ReadonlySet<string>): void {
    this.retained = pools;
    for (const [pool, idle] of this.idle) {
      if (pools.has(pool)) continue;
      this.idle.delete(pool);
      for (const connection of idle) this.close(connection);
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    for (const connection of [...this.open]) this.close(connection);
    this.idle.clear();
  }
}
