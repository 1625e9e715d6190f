import { RandomDraw } from "../../src/simulation/random-draw.js";

const random = RandomDraw.of(17);
const word = (letters: number): string =>
  Array.from({ length: letters }, () => String.fromCharCode(97 + Math.floor(random() * 26))).join(
    "",
  );

/** A configuration with many routes whose names, hosts and paths are drawn, of which each change alters one route. */
export class LargeConfig {
  private readonly names: string[];
  private readonly routes: Record<string, { match: object; service: string; giveUpMs: number }>;
  private readonly services = Array.from({ length: 60 }, () => word(8));
  private changes = 0;

  constructor(routes: number) {
    this.names = Array.from({ length: routes }, () => `r-${word(7)}`);
    this.routes = Object.fromEntries(
      this.names.map((name) => [
        name,
        {
          match: { path: `/${word(6)}/${word(5)}/*`, host: `${word(5)}.example`, methods: ["GET"] },
          service: this.service(),
          giveUpMs: 1000 + Math.floor(random() * 9) * 100,
        },
      ]),
    );
  }

  /** The text of the next version: one more route than none goes to another service, another has another time-out. */
  next(): string {
    this.changes += 1;
    const route = this.routes[this.names[Math.floor(random() * this.names.length)] ?? ""];
    if (route) {
      route.service = this.service();
      route.giveUpMs = 1000 + this.changes;
    }
    const services = Object.fromEntries(this.services.map((name) => [name, {}]));
    return JSON.stringify({ services, routes: this.routes });
  }

  private service(): string {
    return this.services[Math.floor(random() * this.services.length)] ?? "";
  }
}
