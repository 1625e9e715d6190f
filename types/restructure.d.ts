declare module "restructure" {
  export interface Coder<T> {
    size(value: T): number;
    toBuffer(value: T): Uint8Array;
    fromBuffer(bytes: Uint8Array): T;
  }
  export type Decoded<C> = C extends Coder<infer T> ? T : never;
  export const uint8: Coder<number>;
  export const uint16: Coder<number>;
  export const uint32: Coder<number>;
  export const double: Coder<number>;
  class Base<T> implements Coder<T> {
    size(value: T): number;
    toBuffer(value: T): Uint8Array;
    fromBuffer(bytes: Uint8Array): T;
  }
  export class Boolean extends Base<boolean> {
    constructor(type: Coder<number>);
  }
  /** What values are written into: the next byte goes to `pos`. */
  export interface EncodeStream {
    readonly buffer: Uint8Array;
    pos: number;
    writeUInt32BE(value: number): void;
  }
  export class String extends Base<string> {
    constructor(length: Coder<number>, encoding: "utf8");
    encode(stream: EncodeStream, value: string): void;
  }
  export class Buffer extends Base<Uint8Array> {
    constructor(length: Coder<number>);
  }
  export class Array<T> extends Base<T[]> {
    constructor(type: Coder<T>, length: Coder<number>);
  }
  export class Struct<T extends object> extends Base<T> {
    constructor(fields: { [K in keyof T]: Coder<T[K]> });
  }
}
