import { RandomDraw } from "../../src/simulation/random-draw.js";

const random = RandomDraw.of(17);
const randomWord = (letters: number): string =>
  Array.from({ length: letters }, () => String.fromCharCode(97 + Math.floor(random() * 26))).join(
    "",
  );

/** A configuration with many routes whose names, hosts and paths are drawn, of which each change alters one route. */
export class LargeConfig {
  private readonly names: string[];
  private readonly routes: Record<
    string,
    { match: object; randomService: string; giveUpMs: number }
  >;
  private readonly services = Array.from({ length: 60 }, () => randomWord(8));
  private changes = 0;

  constructor(routes: number) {
    this.names = Array.from({ length: routes }, () => `r-${randomWord(7)}`);
    this.routes = Object.fromEntries(
      this.names.map((name) => [
        name,
        {
          match: {
            path: `/${randomWord(6)}/${randomWord(5)}/*`,
            host: `${randomWord(5)}.example`,
            methods: ["GET"],
          },
          randomService: this.randomService(),
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
      route.randomService = this.randomService();
      route.giveUpMs = 1000 + this.changes;
    }
    const services = Object.fromEntries(this.services.map((name) => [name, {}]));
    return JSON.stringify({ services, routes: this.routes });
  }

  private randomService(): string {
    return this.services[Math.floor(random() * this.services.length)] ?? "";
  }
}
