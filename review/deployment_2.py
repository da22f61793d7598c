"""Starts the programs of the deploy file on loopback addresses, with settings made
from deploy/settings.ini, and has small stand-ins of the platform, the operator, the
servers and the clients, as PROTOCOL.md and DEPLOY.md describe them. Used by the run.sh
of the cases of the second review."""

import atexit
import ctypes
import http.client
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
PROGRAM = os.path.join(ROOT, "target", "damaskyard")
SYN, ACK, FIN, RST, BOUNCED = 8, 1, 128, 4, 2
HEAD = struct.Struct("<IIB3xHHIIHII")  # sum echo flags sport dport dst src len seq ack
ENTRY_IP, ENTRY_PORT = "127.79.0.1", 443
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


def end_with_parent():
    """So that the programs end also if this process is killed."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def find_base_port():
    """A port such that it and the next 40 are free on loopback."""
    for base in range(21000 + os.getpid() % 97 * 100, 32000, 100):
        try:
            for port in range(base, base + 40):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
    raise CannotRun("no free ports")


def render(template, values):
    """Fills in the forms of template that deploy/settings.ini uses."""

    def look_up(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        table = look_up(match[1]) or {}
        keys = list(table)
        parts = []
        for i, key in enumerate(keys):
            text = match[2].replace("{{@}}", str(key))
            parts.append(text.replace("{{,}}", "," if i + 1 < len(keys) else ""))
        return "".join(parts)

    def plain(match):
        value = look_up(match[1])
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(v) for v in value)
        return str(value)

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([\w.]+)}}", plain, text)


class Process:
    """One program of the deploy file, and what the platform does with it."""

    def __init__(self, deployment, name, role, ip, zone, extra):
        self.deployment, self.name, self.role = deployment, name, role
        self.ip, self.zone, self.extra = ip, zone, extra
        self.child = None
        self.data = None
        if role == "control":
            self.data = os.path.join(deployment.folder, name + ".data")
            os.mkdir(self.data)

    def write_settings(self, bootstrap):
        d = self.deployment
        listen = {}
        if self.role != "control":
            listen["datagramAddr"] = f"{self.ip}:{d.port_data}"
            listen["readinessAddr"] = f"{self.ip}:{d.port_ready}"
        if self.role != "balancer":
            listen["control"] = f"{self.ip}:{d.port_control}"
        if self.role == "agent":
            listen["outbound"] = f"{self.ip}:{d.port_outbound}"
        values = {
            "node": self.name,
            "zone": self.zone,
            "dataDir": self.data,
            "bootstrap": bootstrap,
            "listen": listen,
            "portRange": [d.port_inner, d.port_inner + 15],
            "limits": {"linkMbps": 1000.0},
            "seeds": d.seeds,
            "faultTolerance": {"machines": 1},
            "zones": {"zone-a": "region", "zone-b": "region", "zone-c": "region"},
            "contracts": ["base", "drain", "config", "cost", "recover", "flows"],
            "bounds": {"graceS": 6},
        }
        values.update(self.extra)
        text = render(d.template, values).replace("metrics-port=9464", "metrics-port=0")
        with open(self.path(".ini"), "w") as out:
            out.write(text)

    def path(self, suffix):
        return os.path.join(self.deployment.folder, self.name + suffix)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        log = open(self.path(".log"), "ab")
        command = self.deployment.commands[self.role].split()
        self.child = subprocess.Popen(
            [os.path.join(ROOT, command[0])] + command[1:],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            preexec_fn=end_with_parent,
            env={"PATH": os.environ.get("PATH", ""),
                 "DAMASKYARD_CONFIG": self.path(".ini")},
        )
        log.close()

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def stop(self, grace_s=6.0):
        """SIGTERM, and SIGKILL after graceS, as the platform does."""
        self.child.terminate()
        try:
            self.child.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()

    def log(self):
        with open(self.path(".log"), errors="replace") as lines:
            return lines.read()


class Deployment:
    def __init__(self, record_path):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("build the deploy file's program first")
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.began = time.monotonic()
        self.record = open(record_path, "w")
        self.lock = threading.Lock()
        self.processes = []
        self.closers = []
        atexit.register(self.close)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        with open(os.path.join(ROOT, "deploy", "settings.ini")) as file:
            self.template = file.read()
        base = find_base_port()
        self.port_data, self.port_ready, self.port_control = base, base + 1, base + 2
        self.port_outbound, self.port_app, self.port_inner = base + 3, base + 4, base + 10
        self.seeds = []

    def note(self, text):
        with self.lock:
            self.record.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
            self.record.flush()

    def add(self, name, role, ip, zone, extra=None):
        process = Process(self, name, role, ip, zone, extra or {})
        self.processes.append(process)
        return process

    def close(self):
        for closer in self.closers:
            closer()
        for process in self.processes:
            process.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        if not self.record.closed:
            self.record.close()


def call(address, method, path, body=None, timeout=1.0):
    """One HTTP call. Returns status, body and location, or None without an answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        return answer.status, answer.read(), answer.getheader("Location")
    except OSError:
        return None
    except http.client.HTTPException:
        return None
    finally:
        connection.close()


class Operator:
    """Calls any control, follows a 307 twice, and tries the next one otherwise."""

    def __init__(self, deployment, controls):
        self.deployment, self.controls, self.next = deployment, controls, 0

    def once(self, method, path, body):
        address = self.controls[self.next % len(self.controls)]
        for _ in range(3):
            answer = call(address, method, path, body)
            if not answer or answer[0] != 307:
                return answer
            address, path = answer[2].removeprefix("http://").split("/", 1)
            path = "/" + path
        return answer

    def send(self, method, path, body=None, for_s=10.0):
        """Tries until an answer below 500 comes. Returns it, or None."""
        end = time.monotonic() + for_s
        wait = 0.1
        while time.monotonic() < end:
            answer = self.once(method, path, body)
            if answer and answer[0] < 500 and answer[0] not in (307, 408, 429):
                return answer
            self.next += 1
            time.sleep(wait)
            wait = min(wait * 1.5, 0.8)
        return None


def configuration(version, services, service, idle_routes=8):
    routes = [{
        "name": "r-main", "host": ENTRY_IP, "pathPrefix": f"/{ENTRY_PORT}/",
        "routeType": "safe", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2,
        "service": service, "maxAttempts": 2}]
    for i in range(idle_routes):
        routes.append({
            "name": f"r-idle{i}", "host": "127.79.1.%d" % (i + 1),
            "pathPrefix": "/443/", "routeType": "safe",
            "timeoutMs": 2000 + version, "targetLatencyMs": 200, "priority": 2,
            "service": service, "maxAttempts": 2})
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/healthz", "maxFlows": 2000,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def pack(flags, sport, dport, dst, src, seq, ack, data=b"", echo=0, checksum=0x5A5A):
    return HEAD.pack(checksum, echo, flags, sport, dport, ip_number(dst),
                     ip_number(src), len(data), seq & 0xFFFFFFFF, ack & 0xFFFFFFFF) + data


class Server:
    """A server beside an agent: answers each request that has come whole, bounces
    packets of flows that it does not hold, and sends heartbeats."""

    def __init__(self, deployment, name, ip, service, agent_ip):
        self.deployment, self.name, self.ip, self.service = deployment, name, ip, service
        self.agent_ip = agent_ip
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.flows = {}
        self.resets_sent = set()
        self.beating = True
        self.alive = True
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.udp.bind((ip, deployment.port_app))
        self.tcp = socket.socket()
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind((ip, deployment.port_app))
        self.tcp.listen(64)
        deployment.closers.append(self.crash)
        for run in (self.run_udp, self.run_tcp, self.run_beats):
            threading.Thread(target=run, daemon=True).start()

    def crash(self):
        """Ends at once; flows and sockets go."""
        if self.alive:
            self.alive = False
            for opened in (self.udp, self.tcp):
                try:
                    opened.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                opened.close()

    def notice(self, state="ready"):
        self.seq += 1
        return {"service": self.service, "address": f"{self.ip}:{self.deployment.port_app}",
                "zone": "zone-a", "version": "v1", "slots": 4, "state": state,
                "warmupLeftMs": 0, "seq": self.seq, "born": self.born}

    def send_notice(self, notice):
        return call(f"{self.agent_ip}:{self.deployment.port_control}", "PUT",
                    f"/-/instances/{self.name}", notice)

    def run_beats(self):
        while self.alive:
            if self.beating:
                self.send_notice(self.notice())
            time.sleep(1.2)

    def run_tcp(self):
        while self.alive:
            try:
                connection, _ = self.tcp.accept()
            except OSError:
                return
            threading.Thread(target=self.serve_health, args=(connection,),
                             daemon=True).start()

    def serve_health(self, connection):
        try:
            connection.settimeout(2)
            if connection.recv(4096):
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except OSError:
            pass
        connection.close()

    def send(self, packet):
        try:
            self.udp.sendto(packet, (self.agent_ip, self.deployment.port_outbound))
        except OSError:
            pass

    def run_udp(self):
        while self.alive:
            try:
                packet, _ = self.udp.recvfrom(2048)
            except OSError:
                return
            if len(packet) >= HEAD.size:
                self.receive(packet)

    def receive(self, packet):
        total, echo, flags, sport, dport, dst, src, size, seq, ack = HEAD.unpack_from(packet)
        key = (src, sport, dst, dport)
        flow = self.flows.get(key)
        if flags & SYN and not flow:
            flow = self.flows[key] = {"seq": 0x10000 + len(self.flows) * 4096,
                                      "got": seq + 1, "open": False, "runs": 0}
        if not flow:
            out = bytearray(packet)
            out[8] |= BOUNCED
            out[9:12] = b"\0\0\0"
            self.send(bytes(out))
            return

        def answer(answer_flags, at, data=b""):
            self.send(pack(answer_flags, dport, sport, ip_text(src), ip_text(dst),
                           at, flow["got"], data))

        if flags & SYN:
            answer(SYN | ACK, flow["seq"])
            return
        if flags & RST:
            self.flows.pop(key, None)
            return
        if not flow["open"]:
            flow["open"] = True
            flow["next"] = flow["seq"] + 1
        if not size:
            return
        data = packet[HEAD.size:HEAD.size + size]
        request = re.search(rb"X-Damaskyard-Request-Id: (\S+)", data)
        if seq == flow["got"] & 0xFFFFFFFF:
            flow["got"] += size
            flow["runs"] += 1
            name = request[1].decode() if request else "?"
            self.deployment.note(f"server {self.name} runs request {name}")
            body = f"{name} by {self.name}".encode()
            flow["last"] = (b"HTTP/1.1 200 OK\r\nX-Damaskyard-Server-Stamp: "
                            + self.name.encode() + b"\r\nContent-Length: %d\r\n\r\n"
                            % len(body) + body)
            flow["last_at"] = flow["next"]
            flow["next"] += len(flow["last"])
        if "last" in flow:
            answer(ACK, flow["last_at"], flow["last"])


class Client:
    """Opens flows through balancers and sends a request on them now and then."""

    def __init__(self, deployment, ip, balancers):
        self.deployment, self.ip, self.balancers = deployment, ip, balancers
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((ip, deployment.port_data))
        self.flows = {}
        self.port = 40000
        self.requests = 0
        deployment.closers.append(self.udp.close)
        threading.Thread(target=self.run, daemon=True).start()

    def router(self, flow):
        return self.balancers[flow["port"] % len(self.balancers)]

    def send(self, flow, flags, seq, ack, data=b""):
        packet = pack(flags, flow["port"], ENTRY_PORT, ENTRY_IP, self.ip, seq, ack, data)
        self.udp.sendto(packet, (self.router(flow), self.deployment.port_data))

    def run(self):
        while True:
            try:
                packet, _ = self.udp.recvfrom(2048)
            except OSError:
                return
            if len(packet) < HEAD.size:
                continue
            total, _, flags, _, port, _, _, size, seq, ack = HEAD.unpack_from(packet)
            flow = self.flows.get(port)
            if not flow:
                continue
            if flags & RST:
                if flow["state"] != "reset":
                    flow["was"] = flow["state"]
                    flow["state"] = "reset"
                    flow["reset_by"] = "the system" if total == 0 else "a server"
                    self.deployment.note(
                        f"client flow {port} ({flow['was']}) gets a reset of "
                        f"{flow['reset_by']}")
            elif flags & SYN and flow["state"] == "opening":
                flow["peer"] = seq + 1
                flow["state"] = "open"
                self.send(flow, ACK, flow["seq"], flow["peer"])
            elif size and flow["state"] == "open":
                if seq == flow["peer"] & 0xFFFFFFFF:
                    flow["peer"] += size
                    flow["answers"].append(packet[HEAD.size:HEAD.size + size])
                self.send(flow, ACK, flow["seq"], flow["peer"])

    def open(self):
        """Opens a flow. Returns it, or None if it doesn't open."""
        self.port += 1
        flow = {"port": self.port, "seq": 1000 + self.port, "state": "opening",
                "answers": [], "peer": 0}
        self.flows[self.port] = flow
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(flow, SYN, flow["seq"] - 1, copy)
            if self.wait(lambda: flow["state"] != "opening", wait):
                break
        return flow if flow["state"] == "open" else None

    @staticmethod
    def wait(condition, for_s):
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.002)
        return condition()

    def request(self, flow, for_s=2.5):
        """Sends a request; copies as the page says. Returns the answer, or None."""
        self.requests += 1
        name = f"q{self.requests}"
        data = (f"GET / HTTP/1.1\r\nHost: x\r\nX-Damaskyard-Request-Id: {name}\r\n\r\n"
                ).encode()
        before = len(flow["answers"])
        first = flow["seq"]
        end = time.monotonic() + for_s
        wait = 0.2
        flow["seq"] += len(data)
        while time.monotonic() < end and flow["state"] == "open":
            packet = pack(ACK, flow["port"], ENTRY_PORT, ENTRY_IP, self.ip, first,
                          flow["peer"], data)
            self.udp.sendto(packet, (self.router(flow), self.deployment.port_data))
            if self.wait(lambda: len(flow["answers"]) > before
                         or flow["state"] != "open",
                         min(wait, max(0.0, end - time.monotonic()))):
                break
            wait = min(2 * wait, 1.6)
        answered = len(flow["answers"]) > before
        self.deployment.note(f"client flow {flow['port']} request {name}: "
                             + ("answered" if answered else flow["state"]))
        return flow["answers"][before] if answered else None


def run(main, record_path):
    """Runs a case; the exit status is 1 if its rule was broken, 0 if it held, and 2
    if it couldn't run. An error of the script itself is a case that couldn't run."""
    status = 2
    deployment = None
    try:
        deployment = Deployment(record_path)
        broken = main(deployment)
        ended = [p.name for p in deployment.processes if p.child.poll() is not None]
        if ended:
            raise CannotRun("processes ended by themselves: " + ", ".join(ended))
        deployment.note("result: " + ("broken" if broken else "held"))
        status = 1 if broken else 0
    except CannotRun as reason:
        print("cannot run:", reason, file=sys.stderr)
        if deployment:
            deployment.note(f"cannot run: {reason}")
        else:
            with open(record_path, "w") as record:
                record.write(f"cannot run: {reason}\n")
    except Exception:
        traceback.print_exc()
        if deployment:
            deployment.note("cannot run: " + traceback.format_exc())
    sys.exit(status)
