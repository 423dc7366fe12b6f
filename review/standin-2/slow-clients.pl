# Clients that read their answers slowly, over connections with the segment size of an Ethernet link.
#
# On the loopback interface a segment has 64 KiB, and the kernel then takes megabytes of an answer that nobody reads.
# With TCP_MAXSEG, which is an option of the client's own socket, it takes as much as on a network.
#
# Arguments: PORT COUNT START_GAP_MS BYTES_PER_SECOND SECONDS METHOD PATH DEADLINE_MS KEY_COUNT [PAUSE_FROM PAUSE_UNTIL]
# The last two are seconds since the request; in between, the client reads nothing.
# Writes one line for each request: its id, "complete" or how it ended, its status and the bytes of the answer.
use strict;
use warnings;
use Errno qw(EAGAIN EWOULDBLOCK EINTR);
use Fcntl qw(F_GETFL F_SETFL O_NONBLOCK);
use Socket;
use Time::HiRes qw(time sleep);

my ($port, $count, $start_gap_ms, $rate, $seconds, $method, $path, $deadline_ms, $key_count, $pause_from, $pause_until) = @ARGV;
$pause_from //= 0;
$pause_until //= 0;
my $prefix = 's';
$| = 1;

# Constants of <netinet/tcp.h> and <netinet/in.h>.
my ($IPPROTO_TCP, $TCP_MAXSEG) = (6, 2);

my %open;
my $started_at = time;
my $begun = 0;

sub begin {
    my $number = ++$begun;
    socket(my $socket, PF_INET, SOCK_STREAM, $IPPROTO_TCP) or die "socket: $!";
    setsockopt($socket, SOL_SOCKET, SO_RCVBUF, pack('l', 8_192)) or die "SO_RCVBUF: $!";
    setsockopt($socket, $IPPROTO_TCP, $TCP_MAXSEG, pack('l', 1_460)) or die "TCP_MAXSEG: $!";
    connect($socket, sockaddr_in($port, inet_aton('127.0.0.1'))) or die "connect: $!";
    my $key = 'key' . ($number % $key_count);
    my $body = $method eq 'POST' ? '{}' : '';
    my $request = "$method $path HTTP/1.1\r\nHost: a.example\r\nX-Azuredale-Request-Id: $prefix$number\r\n"
        . "X-Azuredale-Deadline-Ms: $deadline_ms\r\nAuthorization: Token $key\r\n"
        . ($body ne '' ? 'Content-Length: ' . length($body) . "\r\n" : '') . "\r\n$body";
    syswrite($socket, $request) == length($request) or die "write: $!";
    fcntl($socket, F_SETFL, fcntl($socket, F_GETFL, 0) | O_NONBLOCK) or die "fcntl: $!";
    $open{$number} = { socket => $socket, at => time, bytes => 0, head => '', tail => '' };
}

sub end {
    my ($number, $how) = @_;
    my $one = delete $open{$number};
    my ($status) = $one->{head} =~ m{^HTTP/1\.1 (\d+)};
    printf "%s%d %s status %s bytes %d after %.3f s\n", $prefix, $number, $how, $status // 'none', $one->{bytes},
        time - $one->{at};
    close $one->{socket};
}

# Whether the answer has ended as its framing says.
sub is_complete {
    my ($one) = @_;
    my $end = index($one->{head}, "\r\n\r\n");
    return 0 if $end < 0;
    my $fields = substr($one->{head}, 0, $end);
    return $one->{bytes} >= $end + 4 + $1 if $fields =~ /\r\nContent-Length: *(\d+)/i;
    return $one->{tail} =~ /\r\n0\r\n\r\n\z/;
}

while ((keys %open || $begun < $count) && time - $started_at < $seconds) {
    my $now = time;
    begin() while $begun < $count && $now - $started_at >= $begun * $start_gap_ms / 1_000;
    my $has_read = 0;
    for my $number (sort { $a <=> $b } keys %open) {
        my $one = $open{$number};
        my $age = $now - $one->{at};
        next if $age > $pause_from && $age < $pause_until;
        my $allowed = int($age * $rate) + 1_000 - $one->{bytes};
        next if $allowed <= 0;
        my $read = sysread($one->{socket}, my $part, $allowed < 65_536 ? $allowed : 65_536);
        if (!defined $read) {
            end($number, "broken: $!") unless $! == EAGAIN || $! == EWOULDBLOCK || $! == EINTR;
        } elsif ($read == 0) {
            end($number, 'cut');
        } else {
            $has_read = 1;
            $one->{bytes} += $read;
            $one->{head} .= $part if length($one->{head}) < 4_096;
            $one->{tail} = substr($one->{tail} . $part, -16);
            end($number, 'complete') if is_complete($one);
        }
    }
    sleep($has_read ? 0.002 : 0.01);
}
end($_, 'unfinished') for sort { $a <=> $b } keys %open;
